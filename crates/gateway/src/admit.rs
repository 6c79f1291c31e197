//! Second stage: an inquiry gets its number, its place among the open ones and goes to the module. Owns that place
//! while the client's connection holds the `Admitted`; if the connection goes first, the module hears that the
//! client left. Must never answer an inquiry itself, nor drop one that the module still holds.

use crate::http::{Answer, Call};
use crate::route::Hall;
use std::rc::Rc;
use tokio::sync::oneshot;

pub struct Admitted {
    hall: Rc<Hall>,
    id: u32,
    pub answer: oneshot::Receiver<Answer>,
}

/// None where an inquiry of the same id is open: it belongs to another client.
pub fn admit(hall: &Rc<Hall>, call: Call) -> Option<Admitted> {
    let (sender, answer) = oneshot::channel();
    let mut inquiry = call.inquiry.clone();
    inquiry.id = hall.call(|_, now, hands| hands.seat(call, now + inquiry.remaining, sender))?;
    // Its place is held from here on, so that it is given back whatever happens in between.
    let admitted = Admitted { hall: hall.clone(), id: inquiry.id, answer };
    hall.call(|module, now, hands| module.request_arrived(now, hands, inquiry));
    Some(admitted)
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let id = self.id;
        self.hall.call(|module, now, hands| {
            if hands.vacate(id).is_some() {
                module.client_disconnected(now, hands, id);
            }
        });
    }
}
