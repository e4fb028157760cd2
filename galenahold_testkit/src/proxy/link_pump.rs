//! One direction of one connection.

use std::io;
use std::sync;
use std::time;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::{mpsc, watch};

use super::LinkFault;
use super::direction_state::{ActiveFault, DirectionState};

/// Bytes of the largest piece.
const PIECE_BYTES: usize = 16 * 1_024;

/// Pieces between reading and writing; with more the sender is held back.
const PIECES_IN_FLIGHT: usize = 64;

struct TimedPiece {
    read_at: time::Instant,
    bytes: Vec<u8>,
}

/// Passes bytes from one socket to another under the direction's fault.
pub(crate) struct LinkPump<'a> {
    state: sync::Arc<DirectionState>,
    faults: watch::Receiver<ActiveFault>,
    /// The number of the connection.
    connection: u64,
    writer: tcp::WriteHalf<'a>,
    due: time::Instant,
}

impl<'a> LinkPump<'a> {
    /// Makes the pump into `writer`.
    pub(crate) fn new(
        state: sync::Arc<DirectionState>,
        connection: u64,
        writer: tcp::WriteHalf<'a>,
    ) -> Self {
        let faults = state.subscribe();
        Self {
            state,
            faults,
            connection,
            writer,
            due: time::Instant::now(),
        }
    }

    /// Passes all bytes of `reader`, then its end.
    ///
    /// # Errors
    ///
    /// Fails when either socket fails or the fault resets the connection.
    pub(crate) async fn run(mut self, reader: tcp::ReadHalf<'_>) -> io::Result<()> {
        let (sender, mut pieces) = mpsc::channel(PIECES_IN_FLIGHT);
        let write_all = async {
            while let Some(piece) = pieces.recv().await {
                self.pass_piece(piece).await?;
            }
            self.state.wait_open(self.connection).await;
            self.writer.shutdown().await
        };
        tokio::try_join!(read_pieces(reader, sender), write_all)?;
        Ok(())
    }

    async fn pass_piece(&mut self, piece: TimedPiece) -> io::Result<()> {
        let fault = self.faults.borrow().fault;
        self.due = self.due.max(piece.read_at + fault.delay + jitter_of(fault));
        tokio::time::sleep_until(self.due.into()).await;
        if let Some(rate) = fault.bytes_per_second {
            let micros = piece.bytes.len() as u64 * 1_000_000 / rate;
            self.due = time::Instant::now() + time::Duration::from_micros(micros);
        }
        let mut rest = piece.bytes.as_slice();
        while !rest.is_empty() {
            let allowed = self.wait_allowed().await?;
            let count = rest.len().min(allowed);
            self.writer.write_all(&rest[..count]).await?;
            self.state.count_passed(count);
            rest = &rest[count..];
        }
        Ok(())
    }

    /// Waits until some bytes may pass and returns how many.
    async fn wait_allowed(&mut self) -> io::Result<usize> {
        loop {
            let active = *self.faults.borrow_and_update();
            let passed = self.state.passed_bytes() - active.base_bytes;
            let left = |limit: Option<u64>| {
                limit.map_or(usize::MAX, |limit| {
                    usize::try_from(limit.saturating_sub(passed)).unwrap_or(usize::MAX)
                })
            };
            let before_reset = left(active.fault.reset_after);
            if before_reset == 0 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let allowed = before_reset.min(left(active.fault.stall_after));
            if allowed > 0 && active.is_open(self.connection) {
                return Ok(allowed);
            }
            if self.faults.changed().await.is_err() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
    }
}

/// Reads pieces until the end of the connection.
async fn read_pieces(
    mut reader: tcp::ReadHalf<'_>,
    pieces: mpsc::Sender<TimedPiece>,
) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; PIECE_BYTES];
        let count = reader.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        bytes.truncate(count);
        let piece = TimedPiece {
            read_at: time::Instant::now(),
            bytes,
        };
        if pieces.send(piece).await.is_err() {
            return Ok(());
        }
    }
}

/// Draws the further delay of one piece.
fn jitter_of(fault: LinkFault) -> time::Duration {
    if fault.jitter.is_zero() {
        return time::Duration::ZERO;
    }
    rand::rng().random_range(time::Duration::ZERO..=fault.jitter)
}
