//! Tests of the admission decisions: rules under generated events, and regression tests of single failures.

mod cases;
mod disconnects;
mod harness;
mod plan_changes;
mod rules;
