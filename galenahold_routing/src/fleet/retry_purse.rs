//! Bounds how many attempts are made beyond the first of each call.

/// Bounds how many attempts one instance makes beyond the first of each call.
///
/// Each first attempt earns a share of another one, so that the sum over all instances keeps to the
/// same share without a message between them.
#[derive(Debug, Clone)]
pub struct RetryPurse {
    share: f64,
    most: f64,
    held: f64,
}

impl RetryPurse {
    /// Creates a purse that earns `share` of an attempt with each call and holds at most `most`.
    #[must_use]
    pub fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            held: most,
        }
    }

    /// Sets how much the purse holds at most.
    pub fn set_most(&mut self, most: f64) {
        self.most = most;
        self.held = self.held.min(most);
    }

    /// Counts a call's first attempt.
    pub fn earn(&mut self) {
        self.held = (self.held + self.share).min(self.most);
    }

    /// Takes one further attempt out; false if there is none.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let affordable = self.held >= 1.0;
        if affordable {
            self.held -= 1.0;
        }
        affordable
    }
}
