//! Tests of the admission decisions: rules under drawn events, and cases found in service.

mod cases;
mod departures;
mod rules;
mod world;
