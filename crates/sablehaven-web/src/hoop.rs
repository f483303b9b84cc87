//! Counts the requests and responses of a salvo server.

use std::sync::Arc;

use bytes::Bytes;
use sablehaven_http::{
    ClientConnection, CollectError, HeldBody, HeldBytes, HeldFor, PARSED_FACTOR, collect_request,
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::ResBody};

use crate::policy::OpenConnections;

/// Counts requests and responses for the connections that they belong to.
pub(crate) struct ClientHoop {
    pub(crate) open: OpenConnections,
}

/// Why the body of a request was not read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// the server does not know the connection of the request
    NoClient,
    /// {0}
    Body(#[source] CollectError<std::io::Error>),
}

/// The bytes of a response, which are held until the connection has written them.
struct HeldResponse {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldResponse {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[async_trait]
impl Handler for ClientHoop {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let Some(client) = self.open.find(request.remote_addr()) else {
            // The connection has closed in the meantime.
            control.skip_rest();
            return;
        };
        client.request_started();
        request.extensions_mut().insert(client.clone());
        control.call_next(request, depot, response).await;
        client.response_ready();
        hold_response(&client, response);
    }
}

fn hold_response(client: &ClientConnection, response: &mut Response) {
    let body = match response.take_body() {
        ResBody::Once(bytes) if !bytes.is_empty() => {
            let held = client.hold_response(bytes.len());
            let owner = HeldResponse { bytes, _held: held };
            ResBody::Once(Bytes::from_owner(owner))
        }
        body => body,
    };
    response.replace_body(body);
}

/// The connection of the client that sent a request; `None` if its server was not made by this crate.
pub fn client_of(request: &Request) -> Option<&ClientConnection> {
    request.extensions().get()
}

/// Memory that serving a request takes beside its body, in bytes.
const REQUEST_STATE_BYTES: usize = 8 * 1024;

/// The body of a request. It is held, together with the memory for parsing it and for serving the request, until all
/// clones of this are dropped.
#[derive(Clone, Debug)]
pub struct RequestBody {
    body: HeldBody,
    _state: Arc<HeldBytes>,
}

impl RequestBody {
    /// The bytes of the body.
    pub fn bytes(&self) -> &Bytes {
        self.body.bytes()
    }
}

/// Reads the body of a request, of at most `limit` bytes. It is held until the request has been served at least.
///
/// # Errors
/// See [`ReadError`].
pub async fn read_body(request: &mut Request, limit: usize) -> Result<RequestBody, ReadError> {
    let body = request.take_body();
    let client = client_of(request).ok_or(ReadError::NoClient)?;
    let collected = collect_request(client, body, limit).await;
    let collected = collected.map_err(ReadError::Body)?;
    let length = PARSED_FACTOR * collected.bytes().len() + REQUEST_STATE_BYTES;
    let state = client.hold(length, HeldFor::Request).await;
    let state = state.map_err(|error| ReadError::Body(CollectError::NoMemoryLeft(error)))?;
    let body = RequestBody {
        body: collected,
        _state: Arc::new(state),
    };
    request.extensions_mut().insert(body.clone());
    Ok(body)
}
