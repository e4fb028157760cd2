//! The fields of a declaration, by which findings and differences name them.

/// A field of a declared part, independent of its name in the operator's document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclaredField {
    /// The number of the declaration.
    Number,
    /// The name of a route, service, model or team.
    Name,
    /// The host of a route.
    Host,
    /// The path prefix of a route.
    PathPrefix,
    /// The kind of a route's calls.
    Kind,
    /// The maximum time that a route's caller is kept waiting.
    Timeout,
    /// The latency objective of a route.
    Objective,
    /// The objective for the time between two events.
    EventGap,
    /// The priority of a route or team.
    Priority,
    /// The services of a route.
    Shares,
    /// The weight of one of a route's services.
    Weight,
    /// The maximum number of attempts of a call.
    MaxAttempts,
    /// Whether calls need no key.
    Open,
    /// The path of the health check.
    HealthPath,
    /// The maximum number of connections of a backend server.
    MaxConnections,
    /// The engine section of a service.
    Engine,
    /// The concurrent requests of an engine.
    Slots,
    /// The tokens that an engine's cache holds.
    CacheTokens,
    /// The memory of an engine for weights and adapters.
    WeightMemory,
    /// The maximum number of adapters of an engine.
    AdapterSlots,
    /// The maximum rate of loads from the weight store.
    StoreLoads,
    /// The tokens in one event of a stream.
    TokensPerEvent,
    /// The models of an engine.
    Models,
    /// The memory that a model's weights take.
    Weights,
    /// The memory that one adapter of a model takes.
    AdapterMemory,
    /// The adapters of a model.
    Adapters,
    /// The load time from the weight store.
    StoreLoad,
    /// The load time from the engine's disk.
    DiskLoad,
    /// The load time from the host's memory.
    MemoryLoad,
    /// The keys of a team.
    Keys,
    /// The rate limit of a team.
    Rate,
    /// The burst of a team.
    Burst,
    /// The unit in which a team is charged.
    Charge,
    /// The maximum size of a request's head.
    HeadSize,
    /// The maximum size of a request's body.
    BodySize,
    /// The maximum time to receive a request's head.
    HeadTimeout,
    /// The maximum idle time of a connection.
    IdleTimeout,
}
