//! Accepts client connections, up to the maximum, until the node is closed to clients.

use crate::client_connection;
use crate::client_server::{ClientServer, ServingStage};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay after a failed accept: usually no file descriptor is left, and the next accept would fail at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts connections and serves each in its own task. Returns once the stage is [`ServingStage::Closed`].
pub async fn listen(server: Rc<ClientServer>, listener: Rc<TcpListener>) {
    let mut stage = server.stage.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == ServingStage::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) if server.open_connections.get() < server.max_connections => {
                drop(spawn_local(client_connection::serve(server.clone(), stream)));
            }
            Ok(_) => log::warn!(limit = server.max_connections; "client connection rejected"),
            Err(e) => {
                log::warn!(listener = "clients", error:% = e; "accept failed");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
