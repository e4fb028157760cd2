//! Rounding of loads to a few levels.

/// A load rounded to one of a few levels, so that small changes need no message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadLevel(u8);

impl LoadLevel {
    /// Tokens in one unit of a load that is counted in tokens.
    pub const TOKEN_UNIT: u32 = 256;

    /// Loads of the levels. In token units, the largest is 131,072 tokens: an engine's cache of 120,010
    /// tokens has to be within the scale.
    const VALUES: [u32; 19] = [
        0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512,
    ];

    /// Returns the level nearest to a load.
    #[must_use]
    pub fn nearest(load: u32) -> Self {
        let above = Self::VALUES.partition_point(|value| *value < load);
        let above = above.min(Self::VALUES.len() - 1);
        let below = above.saturating_sub(1);
        let is_below =
            load < Self::VALUES[above] && load - Self::VALUES[below] < Self::VALUES[above] - load;
        Self::at(if is_below { below } else { above })
    }

    /// Returns the level for a changed load, which stays the same until the load has moved three quarters
    /// of the way to the next level.
    ///
    /// A load that alternates between two values would otherwise be sent with each update.
    #[must_use]
    pub fn follow(self, load: u32) -> Self {
        let position = self.position();
        let value = Self::VALUES[position];
        let neighbour = if load >= value {
            Self::VALUES[(position + 1).min(Self::VALUES.len() - 1)]
        } else {
            Self::VALUES[position.saturating_sub(1)]
        };
        let gap = neighbour.abs_diff(value);
        if load.abs_diff(value).saturating_mul(4) < gap * 3 {
            return self;
        }
        Self::nearest(load)
    }

    /// Returns the load that the level stands for.
    #[must_use]
    pub fn load(self) -> u32 {
        Self::VALUES[self.position()]
    }

    /// Returns the number of tokens that the level of a load in tokens stands for.
    #[must_use]
    pub fn tokens(self) -> u32 {
        self.load() * Self::TOKEN_UNIT
    }

    /// Returns the code of the level in a column.
    pub(super) fn code(self) -> u8 {
        self.0
    }

    /// Returns the level with this code.
    pub(super) fn from_code(code: u8) -> Self {
        Self(code)
    }

    /// Rounds a number of tokens to units.
    pub(super) fn token_units(tokens: u32) -> u32 {
        tokens.saturating_add(Self::TOKEN_UNIT / 2) / Self::TOKEN_UNIT
    }

    /// Returns the position on the scale; a level of a newer version beyond the scale counts as the highest.
    fn position(self) -> usize {
        usize::from(self.0).min(Self::VALUES.len() - 1)
    }

    fn at(position: usize) -> Self {
        Self(u8::try_from(position).unwrap_or(u8::MAX))
    }
}
