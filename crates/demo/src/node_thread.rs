//! A node on a thread of its own, with a runtime of its own, as in a process of its own.

use crate::DemoError;
use std::thread::{self, JoinHandle};
use tokio::runtime::LocalOptions;
use tokio::sync::oneshot;

/// A running node.
pub(crate) struct NodeThread {
    /// Dropped to stop the node.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    /// Starts a node. `serve` is called on the thread, with what resolves once the node is to stop; an error that it ends with
    /// is printed.
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

    /// Tells the node to stop, and doesn't wait.
    pub(crate) fn begin_stop(&mut self) {
        self.stop.take();
    }

    /// Tells the node to stop and waits until it has.
    pub(crate) fn stop(&mut self) {
        self.begin_stop();
        if let Some(thread) = self.thread.take() {
            // A panic was printed by the thread itself.
            thread.join().ok();
        }
    }
}
