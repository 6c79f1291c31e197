//! Fifth stage: the one final answer of an inquiry goes to the connection that waits for it. Owns the closing of the
//! inquiry's place, so that there is never a second answer. Must never change what a host answered, nor wait.

use crate::http::{Answer, Reply};
use crate::route::Hands;

/// Ends an inquiry; without effect where it has ended before.
pub fn end(hands: &mut Hands, inquiry: u32, answer: Answer) {
    if let Some(open) = hands.vacate(inquiry) {
        // The client may be leaving at this moment: then nobody waits any more.
        open.answer.send(answer).ok();
    }
}

/// A host's good answer, as it came.
pub fn honour(hands: &mut Hands, inquiry: u32, reply: Reply) {
    end(hands, inquiry, Answer::Honoured { passed: reply.passed, body: reply.body, held: reply.held });
}
