//! Runs a node on a separate thread with its own runtime, as in a separate process.

use crate::DemoError;
use std::thread::{self, JoinHandle};
use tokio::runtime::LocalOptions;
use tokio::sync::oneshot;

/// A node running on its own thread.
pub(crate) struct NodeThread {
    /// Dropped to stop the node.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    /// Starts a node. `serve` is called on the new thread with a receiver that resolves when the node is to stop. If it returns
    /// an error, the error is printed.
    pub(crate) fn start<F: Future<Output = Result<(), DemoError>>>(
        node: String,
        serve: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> NodeThread {
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build_local(LocalOptions::default());
            let result = runtime
                .map_err(|source| DemoError::Runtime { node, source })
                .and_then(|runtime| runtime.block_on(serve(stopped)));
            if let Err(error) = result {
                eprintln!("{error}");
            }
        });
        NodeThread { stop: Some(stop), thread: Some(thread) }
    }

    /// Tells the node to stop without waiting for it.
    pub(crate) fn begin_stop(&mut self) {
        self.stop.take();
    }

    /// Tells the node to stop and waits until it has stopped.
    pub(crate) fn stop(&mut self) {
        self.begin_stop();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            thread.join().ok();
        }
    }
}
