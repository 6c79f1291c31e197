//! Integration tests of the gateway process, driven over loopback sockets against fake hosts, a fake counter and a fake
//! discovery. Measured times are far from their bounds, so that a slow machine does not change a result.

mod attempts;
mod clients;
mod counter;
mod host_list;
mod process;
mod support;

use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Instant;
use support::counter::{CounterBehavior, start_counter, start_counter_at};
use support::discovery::{Discovery, host_entry};
use support::gateway::{
    Gateway, gateway_command, gateway_configuration, lookup_request, request, start_gateway,
    start_gateway_with_counter, start_with_configuration, unused_id, write_configuration,
};
use support::host::{Host, HostBehavior};
use support::{TEST_TIMEOUT, ms, read_message, unused_address, wait_until};
