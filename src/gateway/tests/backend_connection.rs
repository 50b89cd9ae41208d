//! What becomes of a connection to a backend server that is given up.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::gateway::backend_connection::BackendConnection;

/// Symptom: backend servers were handed requests whose clients had left seconds before. Their hosts had
/// stood still, or their links were full; the requests waited on the way, and the close of the connection
/// waited behind them.
#[tokio::test]
async fn a_connection_that_is_given_up_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let opening = BackendConnection::open(address, Duration::from_secs(30));
    let (opened, accepted) = tokio::join!(opening, listener.accept());
    let mut connection = opened.expect("it listens");
    let (mut stream, _) = accepted.expect("it was opened");
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let mut buffer = [0; 1024];
    tokio::select! {
        response = connection.send(request) => panic!("nothing was answered: {response:?}"),
        read = stream.read(&mut buffer) => assert!(read.expect("the request came") > 0),
    }
    drop(connection);
    let end = loop {
        match stream.read(&mut buffer).await {
            Ok(0) => panic!("it was closed in order"),
            Ok(_) => {}
            Err(fault) => break fault.kind(),
        }
    };
    assert_eq!(end, ErrorKind::ConnectionReset);
}
