//! Signal to open calls that this process exits.

use async_channel::{Receiver, Sender};

/// A signal that is raised once.
#[derive(Debug)]
pub(crate) struct ExitSignal {
    /// Closing the channel raises the signal.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl ExitSignal {
    /// Raises the signal.
    pub(crate) fn raise(&self) {
        self.sender.close();
    }

    /// Completes once the signal is raised.
    pub(crate) async fn raised(&self) {
        let _closed = self.receiver.recv().await;
    }
}

impl Default for ExitSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}
