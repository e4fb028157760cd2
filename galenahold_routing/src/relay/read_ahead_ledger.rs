//! The events that are held for slow callers.

use std::collections;
use std::time;

use crate::relay;

/// Streams that hold less are ended only if no other holds more: ending them frees little, and a moment's delay
/// of a connection is no slow reader.
const SMALL_STREAM_BYTES: usize = 16 * 1_024;

slotmap::new_key_type! {
    /// Identifies a stream in a ledger.
    pub struct StreamKey;
}

/// Decides which streams may hold events that their callers have not read, and which is ended when memory runs
/// out.
#[derive(Debug)]
pub struct ReadAheadLedger {
    limits: relay::ReadAheadLimits,
    streams: slotmap::SlotMap<StreamKey, HeldStream>,
    held_bytes: usize,
}

#[derive(Debug, Default)]
struct HeldStream {
    events: collections::VecDeque<HeldEvent>,
    held_bytes: usize,
    is_ended: bool,
}

#[derive(Debug)]
struct HeldEvent {
    bytes: usize,
    held_since: time::Instant,
}

impl ReadAheadLedger {
    /// Returns a ledger without streams.
    #[must_use]
    pub fn new(limits: relay::ReadAheadLimits) -> Self {
        Self {
            limits,
            streams: slotmap::SlotMap::with_key(),
            held_bytes: 0,
        }
    }

    /// Adds a stream.
    pub fn open(&mut self) -> StreamKey {
        self.streams.insert(HeldStream::default())
    }

    /// Removes a stream, and what it still holds.
    pub fn close(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.remove(key) {
            self.held_bytes -= stream.held_bytes;
        }
    }

    /// Holds an event of a stream until it is released.
    ///
    /// A stream that holds nothing always may hold one event, so that no slow reader stops a fast one.
    pub fn hold(
        &mut self,
        key: StreamKey,
        bytes: usize,
        now: time::Instant,
    ) -> relay::ReadAheadStep {
        let Some(stream) = self.streams.get(key) else {
            return relay::ReadAheadStep::StreamFull;
        };
        let is_empty = stream.events.is_empty();
        if !is_empty && stream.held_bytes + bytes > self.limits.stream_bytes {
            return relay::ReadAheadStep::StreamFull;
        }
        if self.held_bytes + bytes > self.limits.total_bytes {
            if let Some(slowest) = self.slowest(now) {
                return relay::ReadAheadStep::EndFirst(slowest);
            }
            if !is_empty {
                return relay::ReadAheadStep::StreamFull;
            }
        }
        if let Some(stream) = self.streams.get_mut(key) {
            stream.held_bytes += bytes;
            stream.events.push_back(HeldEvent {
                bytes,
                held_since: now,
            });
            self.held_bytes += bytes;
        }
        relay::ReadAheadStep::Held
    }

    /// Releases the oldest event of a stream, after it was written to the caller's connection or dropped.
    pub fn release(&mut self, key: StreamKey) {
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        let Some(event) = stream.events.pop_front() else {
            return;
        };
        stream.held_bytes -= event.bytes;
        self.held_bytes -= event.bytes;
    }

    /// Records that a stream is ended, so that another one is ended next.
    pub fn end(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.is_ended = true;
        }
    }

    /// Returns the bytes that all streams hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the bytes that a stream holds.
    #[must_use]
    pub fn stream_bytes(&self, key: StreamKey) -> usize {
        self.streams.get(key).map_or(0, |stream| stream.held_bytes)
    }

    /// Returns how far a stream's caller is behind: the age of the oldest event that it has not read.
    #[must_use]
    pub fn lag(&self, key: StreamKey, now: time::Instant) -> time::Duration {
        let oldest = self
            .streams
            .get(key)
            .and_then(|stream| stream.events.front());
        oldest.map_or(time::Duration::ZERO, |event| {
            now.saturating_duration_since(event.held_since)
        })
    }

    /// Returns the stream whose caller is the furthest behind.
    fn slowest(&self, now: time::Instant) -> Option<StreamKey> {
        let running = self.streams.iter();
        let running = running.filter(|(_, stream)| !stream.is_ended && !stream.events.is_empty());
        let slowest = running.max_by_key(|(key, stream)| {
            let is_large = stream.held_bytes >= SMALL_STREAM_BYTES;
            (is_large, self.lag(*key, now), stream.held_bytes)
        });
        slowest.map(|(key, _)| key)
    }
}
