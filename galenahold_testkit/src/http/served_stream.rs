//! An accepted connection that can end in a reset.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

/// Closes with a TCP reset once its switch is set, and normally otherwise.
#[derive(Debug)]
pub(crate) struct ServedStream {
    stream: net::TcpStream,
    reset: sync::Arc<atomic::AtomicBool>,
}

impl ServedStream {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: net::TcpStream, reset: sync::Arc<atomic::AtomicBool>) -> Self {
        Self { stream, reset }
    }
}

impl Drop for ServedStream {
    fn drop(&mut self) {
        if self.reset.load(atomic::Ordering::Relaxed) {
            // A failure leaves a normal close, which the peer also sees as the end.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(time::Duration::ZERO));
        }
    }
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.reset.load(atomic::Ordering::Relaxed) {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
