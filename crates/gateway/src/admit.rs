//! Registers a client's request in the table of open requests and passes it to the admission module.

use crate::dispatcher::Dispatcher;
use crate::http::{Answer, ClientRequest};
use std::rc::Rc;
use tokio::sync::oneshot;

/// An open request, held by its client's connection. Dropping the guard before the final answer reports to the
/// admission module that the client has disconnected.
pub struct OpenRequestGuard {
    dispatcher: Rc<Dispatcher>,
    request: u32,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// Admits a request. Returns `None` if a request with the same identifier is open or was closed a moment ago.
pub fn admit(dispatcher: &Rc<Dispatcher>, message: ClientRequest) -> Option<OpenRequestGuard> {
    let (sender, answer) = oneshot::channel();
    let mut request = message.request.clone();
    request.id =
        dispatcher.call(|_, now, driver| driver.requests.insert(message, now + request.remaining, sender))?;
    // Created before the module is called, so that the entry is removed even if that call panics.
    let guard = OpenRequestGuard { dispatcher: dispatcher.clone(), request: request.id, answer };
    dispatcher.call(|admission, now, driver| admission.request_arrived(now, driver, request));
    Some(guard)
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let request = self.request;
        self.dispatcher.call(|admission, now, driver| {
            if driver.requests.remove(request).is_some() {
                admission.client_disconnected(now, driver, request);
            }
        });
    }
}
