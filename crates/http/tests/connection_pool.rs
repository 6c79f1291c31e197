//! Reuse of connections and the limit on open ones, on loopback sockets.

use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::{Connection, ConnectionPool, IdleState, PoolError, idle_state};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const HOST: u64 = 1;

fn pool(max_open: usize, idle_timeout: f64) -> Rc<ConnectionPool<ClientCodec>> {
    ConnectionPool::new(max_open, idle_timeout, 5.0, || ClientCodec::new(&[], 100, Rc::new(Cell::new(0))))
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// Opens a connection; returns it and the host's side of it.
async fn open(
    pool: &ConnectionPool<ClientCodec>,
    listener: &TcpListener,
) -> (Connection<ClientCodec>, TcpStream) {
    let connection = pool.open(listener.local_addr().unwrap()).await.unwrap();
    (connection, listener.accept().await.unwrap().0)
}

async fn state_once_readable(connection: &Connection<ClientCodec>) -> IdleState {
    connection.framed.get_ref().readable().await.unwrap();
    idle_state(&connection.framed)
}

#[test]
fn idle_connection_is_reused_for_its_host_and_address_only() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = pool(4, 60.0);
        let (connection, _host_side) = open(&pool, &listener).await;
        let local_address = connection.framed.get_ref().local_addr().unwrap();
        pool.put(HOST, connection, None);
        assert!(pool.take(HOST + 1, address).is_none());
        let reused = pool.take(HOST, address).unwrap();
        assert_eq!(reused.framed.get_ref().local_addr().unwrap(), local_address);
        pool.put_back(HOST, reused);
        assert!(pool.take(HOST, "127.0.0.1:1".parse().unwrap()).is_none());
    });
}

#[test]
fn connection_that_is_closed_or_has_unexpected_bytes_is_not_reused() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = pool(4, 60.0);
        let (connection, host_side) = open(&pool, &listener).await;
        assert_eq!(idle_state(&connection.framed), IdleState::Quiet);
        drop(host_side);
        assert_eq!(state_once_readable(&connection).await, IdleState::Closed);
        pool.put(HOST, connection, None);
        assert!(pool.take(HOST, address).is_none());
        let (connection, mut host_side) = open(&pool, &listener).await;
        host_side.write_all(b"x").await.unwrap();
        assert_eq!(state_once_readable(&connection).await, IdleState::UnexpectedBytes);
        pool.put(HOST, connection, None);
        assert!(pool.take(HOST, address).is_none());
    });
}

/// A host that keeps no idle connections announces, or is configured with, an idle timeout of 0 seconds.
#[test]
fn expired_connection_is_not_reused() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        for (idle_timeout, host_idle_timeout) in [(60.0, Some(0.0)), (0.0, None)] {
            let pool = pool(4, idle_timeout);
            let (connection, _host_side) = open(&pool, &listener).await;
            pool.put(HOST, connection, host_idle_timeout);
            assert!(pool.take(HOST, address).is_none());
        }
    });
}

/// Idle connections are closed to make room for a new one; if all are in use, the error states the limit.
#[test]
fn open_connections_are_limited() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = pool(1, 60.0);
        let (connection, _host_side) = open(&pool, &listener).await;
        pool.put(HOST, connection, None);
        let (_in_use, _host_side) = open(&pool, &listener).await;
        assert!(pool.take(HOST, address).is_none());
        let error = pool.open(address).await.err().unwrap();
        let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<PoolError>());
        assert_eq!(inner, Some(&PoolError::ConnectionsExhausted { limit: 1 }));
    });
}
