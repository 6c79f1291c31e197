//! Counts of tenants' requests over all data gateways. `book` is the counter that one control gateway holds, `asker` the
//! decision module at a data gateway that asks it, one add a request, `frames` which answer belongs to which question, and `share` what a data gateway may let on where the
//! counter lets nothing on or says nothing. Together they stay inside the rule's bound, cut off or not (`share` has the
//! sum). None does I/O or reads a clock.
#![forbid(unsafe_code)]

pub mod counter;
pub mod counter_client;
pub mod local_share;
pub mod pending_calls;
