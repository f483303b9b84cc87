//! Connections between processes of a deployment: framing and the version handshake.

use std::{
    marker::PhantomData,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use futures::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpSocket, TcpStream, tcp::OwnedReadHalf},
    time::timeout,
};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::{
    encoded::{EncodedMessage, FRAME_HEADER_BYTES},
    frame_queue::FrameQueue,
    message::{Hello, Role},
};

/// The version of the internal protocol.
pub const PROTOCOL_VERSION: u32 = 8;

/// The largest frame that is accepted, in bytes.
pub const MAXIMUM_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// The largest frame that is accepted before the handshake is complete, in bytes. Keeps an unknown
/// peer from making this process allocate much memory.
pub const MAXIMUM_HELLO_BYTES: usize = 4 * 1024;

/// Timeout for connecting and the handshake together, or for the handshake of an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Errors of an internal connection. Each message names the failed step and the peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum WireError {
    /// connect to {peer}: {source}
    Connect {
        /// The address of the peer.
        peer: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// handshake with {peer}: no answer in time
    HandshakeTimeout {
        /// The address of the peer.
        peer: String,
    },
    /// handshake with {peer}: {reason}
    Refused {
        /// The address of the peer.
        peer: String,
        /// What is incompatible.
        reason: String,
    },
    /// receive from {peer}: {source}
    Receive {
        /// The address of the peer.
        peer: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// decode message from {peer}: {source}
    Decode {
        /// The address of the peer.
        peer: String,
        /// The underlying error.
        source: rmp_serde::decode::Error,
    },
    /// send to {peer}: {source}
    Send {
        /// The address of the peer.
        peer: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// encode message to {peer}: {source}
    Encode {
        /// The address of the peer.
        peer: String,
        /// The underlying error.
        source: rmp_serde::encode::Error,
    },
    /// receive from {peer}: the other side closed the connection
    Closed {
        /// The address of the peer.
        peer: String,
    },
}

/// The receiving half of a connection.
pub struct FrameReader<Message> {
    peer: String,
    inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    received_bytes: u64,
    message: PhantomData<fn() -> Message>,
}

/// The sending half of a connection.
pub struct FrameWriter<Message> {
    peer: String,
    queue: FrameQueue,
    message: PhantomData<fn(&Message)>,
}

/// A connection after the handshake.
pub struct Connection<Incoming, Outgoing> {
    /// The first message of the peer.
    pub hello: Hello,
    /// The address of the peer.
    pub peer_address: SocketAddr,
    /// The receiving half.
    pub reader: FrameReader<Incoming>,
    /// The sending half.
    pub writer: FrameWriter<Outgoing>,
}

impl<Message: DeserializeOwned> FrameReader<Message> {
    /// Receives the next message. Cancel safe: no frame is lost.
    pub async fn receive(&mut self) -> Result<Message, WireError> {
        let frame = match self.inner.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(source)) => {
                let peer = self.peer.clone();
                return Err(WireError::Receive { peer, source });
            }
            None => {
                let peer = self.peer.clone();
                return Err(WireError::Closed { peer });
            }
        };
        self.received_bytes += (FRAME_HEADER_BYTES + frame.len()) as u64;
        rmp_serde::from_slice(&frame).map_err(|source| WireError::Decode {
            peer: self.peer.clone(),
            source,
        })
    }

    /// Returns the number of bytes in all frames received so far, including their length headers.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Returns the number of bytes received so far, including those of an incomplete frame. A peer that is in the
    /// middle of sending a large frame can thus be recognized as alive.
    pub fn arrived_bytes(&self) -> u64 {
        self.received_bytes + self.inner.read_buffer().len() as u64
    }

    fn retype<Other>(self) -> FrameReader<Other> {
        FrameReader {
            peer: self.peer,
            inner: self.inner,
            received_bytes: self.received_bytes,
            message: PhantomData,
        }
    }
}

impl<Message: Serialize> FrameWriter<Message> {
    /// Sends one message, after those that are queued.
    pub async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Queues one message. [`Self::flush`] sends the queued messages.
    pub async fn feed(&mut self, message: &Message) -> Result<(), WireError> {
        let encoded = EncodedMessage::new(message).map_err(|source| WireError::Encode {
            peer: self.peer.clone(),
            source,
        })?;
        self.feed_encoded(&encoded).await
    }

    /// Queues a message that is already encoded, so that it is encoded only once for many connections.
    pub async fn feed_encoded(
        &mut self,
        message: &EncodedMessage<Message>,
    ) -> Result<(), WireError> {
        let result = self.queue.push(message.frame()).await;
        result.map_err(|source| self.send_error(source))
    }

    /// Returns the number of bytes in all frames queued or sent so far, including their length headers.
    pub fn sent_bytes(&self) -> u64 {
        self.queue.total_bytes()
    }

    /// Sends the queued messages.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        let result = self.queue.flush().await;
        result.map_err(|source| self.send_error(source))
    }

    fn send_error(&self, source: std::io::Error) -> WireError {
        WireError::Send {
            peer: self.peer.clone(),
            source,
        }
    }

    fn retype<Other>(self) -> FrameWriter<Other> {
        FrameWriter {
            peer: self.peer,
            queue: self.queue,
            message: PhantomData,
        }
    }
}

/// Connects to `address` and performs the handshake. The peer must have the role `expected_role`.
pub async fn connect<Incoming, Outgoing>(
    address: SocketAddr,
    hello: &Hello,
    expected_role: Role,
) -> Result<Connection<Incoming, Outgoing>, WireError>
where
    Incoming: DeserializeOwned,
    Outgoing: Serialize,
{
    connect_from(None, address, hello, expected_role).await
}

/// Like [`connect`], but binds the local end to `local_ip` if it is given. On a machine with several
/// network interfaces, this selects the one for control traffic.
pub async fn connect_from<Incoming, Outgoing>(
    local_ip: Option<IpAddr>,
    address: SocketAddr,
    hello: &Hello,
    expected_role: Role,
) -> Result<Connection<Incoming, Outgoing>, WireError>
where
    Incoming: DeserializeOwned,
    Outgoing: Serialize,
{
    let peer = address.to_string();
    let attempt = async {
        let stream = open_stream(local_ip, address)
            .await
            .map_err(|source| WireError::Connect {
                peer: peer.clone(),
                source,
            })?;
        let connection = perform_handshake(stream, address, hello).await?;
        if connection.hello.role != expected_role {
            return Err(WireError::Refused {
                peer: peer.clone(),
                reason: format!(
                    "peer has role {:?}, expected {expected_role:?}",
                    connection.hello.role
                ),
            });
        }
        Ok(connection)
    };
    match timeout(HANDSHAKE_TIMEOUT, attempt).await {
        Ok(result) => result,
        Err(_) => Err(WireError::HandshakeTimeout { peer }),
    }
}

async fn open_stream(local_ip: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(local_ip) = local_ip else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local_ip, 0))?;
    socket.connect(address).await
}

/// Performs the handshake on an accepted stream. The caller then reads the role of the peer from
/// [`Connection::hello`] and sets the message types with [`Connection::retype`].
pub async fn accept(
    stream: TcpStream,
    peer_address: SocketAddr,
    hello: &Hello,
) -> Result<Connection<Hello, Hello>, WireError> {
    let handshake = perform_handshake(stream, peer_address, hello);
    match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(result) => result,
        Err(_) => Err(WireError::HandshakeTimeout {
            peer: peer_address.to_string(),
        }),
    }
}

impl<Incoming, Outgoing> Connection<Incoming, Outgoing> {
    /// Converts the connection to other message types.
    pub fn retype<OtherIncoming, OtherOutgoing>(self) -> Connection<OtherIncoming, OtherOutgoing>
    where
        Incoming: DeserializeOwned,
        Outgoing: Serialize,
    {
        Connection {
            hello: self.hello,
            peer_address: self.peer_address,
            reader: self.reader.retype(),
            writer: self.writer.retype(),
        }
    }
}

async fn perform_handshake<Incoming, Outgoing>(
    stream: TcpStream,
    peer_address: SocketAddr,
    hello: &Hello,
) -> Result<Connection<Incoming, Outgoing>, WireError>
where
    Incoming: DeserializeOwned,
    Outgoing: Serialize,
{
    let peer = peer_address.to_string();
    stream
        .set_nodelay(true)
        .map_err(|source| WireError::Connect {
            peer: peer.clone(),
            source,
        })?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::<Hello> {
        peer: peer.clone(),
        inner: FramedRead::new(read_half, decoder(MAXIMUM_HELLO_BYTES)),
        received_bytes: 0,
        message: PhantomData,
    };
    let mut writer = FrameWriter::<Hello> {
        peer: peer.clone(),
        queue: FrameQueue::new(write_half),
        message: PhantomData,
    };
    writer.send(hello).await?;
    let remote = reader.receive().await?;
    check_hello(&peer, hello, &remote)?;
    let decoder = reader.inner.decoder_mut();
    decoder.set_max_frame_length(MAXIMUM_FRAME_BYTES);
    Ok(Connection {
        hello: remote,
        peer_address,
        reader: reader.retype(),
        writer: writer.retype(),
    })
}

fn check_hello(peer: &str, local: &Hello, remote: &Hello) -> Result<(), WireError> {
    let refuse = |reason: String| {
        Err(WireError::Refused {
            peer: peer.to_owned(),
            reason,
        })
    };
    if remote.protocol_version != local.protocol_version {
        return refuse(format!(
            "peer uses protocol version {}, this process uses {}",
            remote.protocol_version, local.protocol_version
        ));
    }
    if remote.deployment != local.deployment {
        return refuse(format!(
            "peer belongs to deployment '{}', this process to '{}'",
            remote.deployment, local.deployment
        ));
    }
    Ok(())
}

fn decoder(maximum_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(maximum_frame_bytes)
        .new_codec()
}
