//! What one planning round knows about a model.

/// Copies of and demand for one model at the start of a planning round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelStanding {
    /// Usable engines that serve the model.
    pub(super) held: usize,
    /// Whether any engine holds the model or has its weights nearby.
    pub(super) has_copy: bool,
    /// Requests per second for the model.
    pub(super) rate: f64,
    /// Requests per second at an engine that serves the model, those for other models included; the
    /// mean over all such engines.
    pub(super) engine_rate: f64,
    /// Value of having the model loaded at all.
    pub(super) value: f64,
    /// Requests for the model that run.
    pub(super) running: u32,
    /// Whether the model is hardly requested.
    pub(super) idle: bool,
}
