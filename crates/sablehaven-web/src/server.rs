//! Makes salvo servers.

use std::io;

use sablehaven_http::ListenerShare;
use salvo::{Router, Server, Service, conn::tcp::TcpAcceptor};
use tokio::net::TcpListener;

use crate::{
    hoop::ClientHoop,
    policy::{ConnectionPolicy, OpenConnections},
};

/// Maximum size of the head of a request, in bytes. A larger one is answered with status 431.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Makes a server that accepts connections within `share`, and the service that it is to serve.
///
/// # Errors
/// Returns the system's error if the listener has no address.
pub fn bounded_server(
    listener: TcpListener,
    share: ListenerShare,
    router: Router,
) -> io::Result<(Server<TcpAcceptor>, Service)> {
    let open = OpenConnections::default();
    let policy = ConnectionPolicy::new(share, open.clone());
    let mut server = Server::new(TcpAcceptor::try_from(listener)?).fuse_policy(policy);
    server.http1_mut().max_buf_size(MAX_HEADER_BYTES);
    let service = Service::new(router).hoop(ClientHoop { open });
    Ok((server, service))
}
