//! Tests of the admission decisions: rules under generated events, and regression tests of single failures.

mod counter;
mod disconnects;
mod harness;
mod hosts;
mod plan_changes;
mod quota_requests;
mod quotas;
mod requests;
mod rules;
