mod cases;
mod departures;
mod rules;
mod world;
