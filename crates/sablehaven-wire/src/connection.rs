//! Framing and the version handshake.

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

/// The largest frame that is accepted before the handshake is done, in bytes, so that a stranger
/// cannot make this process reserve memory.
pub const MAXIMUM_HELLO_BYTES: usize = 4 * 1024;

/// Time that a connection attempt with its handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Errors of an internal connection; each names the step and the peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum WireError {
    /// connect to {peer}: {source}
    Connect {
        /// The other side.
        peer: String,
        /// The cause.
        source: std::io::Error,
    },
    /// handshake with {peer}: no answer in time
    HandshakeTimeout {
        /// The other side.
        peer: String,
    },
    /// handshake with {peer}: {reason}
    Refused {
        /// The other side.
        peer: String,
        /// What does not fit.
        reason: String,
    },
    /// receive from {peer}: {source}
    Receive {
        /// The other side.
        peer: String,
        /// The cause.
        source: std::io::Error,
    },
    /// decode message from {peer}: {source}
    Decode {
        /// The other side.
        peer: String,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// send to {peer}: {source}
    Send {
        /// The other side.
        peer: String,
        /// The cause.
        source: std::io::Error,
    },
    /// encode message to {peer}: {source}
    Encode {
        /// The other side.
        peer: String,
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// receive from {peer}: the other side closed the connection
    Closed {
        /// The other side.
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
    /// The other side's first message.
    pub hello: Hello,
    /// The other side's address.
    pub peer_address: SocketAddr,
    /// Receives.
    pub reader: FrameReader<Incoming>,
    /// Sends.
    pub writer: FrameWriter<Outgoing>,
}

impl<Message: DeserializeOwned> FrameReader<Message> {
    /// Receives the next message. Safe to cancel: no frame is lost.
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

    /// Bytes of all frames received so far, their lengths included.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Bytes that have arrived so far, also of a frame that is not whole yet: a large one that is on its way is a
    /// sign of life too.
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
    /// Sends one message.
    pub async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Queues one message; [`Self::flush`] sends what is queued.
    pub async fn feed(&mut self, message: &Message) -> Result<(), WireError> {
        let encoded = EncodedMessage::new(message).map_err(|source| WireError::Encode {
            peer: self.peer.clone(),
            source,
        })?;
        self.feed_encoded(&encoded).await
    }

    /// Queues one message that was encoded before, so that many connections share the work.
    pub async fn feed_encoded(
        &mut self,
        message: &EncodedMessage<Message>,
    ) -> Result<(), WireError> {
        let result = self.queue.push(message.frame()).await;
        result.map_err(|source| self.send_error(source))
    }

    /// Bytes of all frames queued or sent so far, their lengths included.
    pub fn sent_bytes(&self) -> u64 {
        self.queue.total_bytes()
    }

    /// Sends what is queued.
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

/// Connects to `address` and shakes hands; the other side must be of role `expected`.
pub async fn connect<Incoming, Outgoing>(
    address: SocketAddr,
    hello: &Hello,
    expected: Role,
) -> Result<Connection<Incoming, Outgoing>, WireError>
where
    Incoming: DeserializeOwned,
    Outgoing: Serialize,
{
    connect_from(None, address, hello, expected).await
}

/// As [`connect`], from the given IP number: a machine with several network interfaces says by it
/// which one its control traffic takes.
pub async fn connect_from<Incoming, Outgoing>(
    source: Option<IpAddr>,
    address: SocketAddr,
    hello: &Hello,
    expected: Role,
) -> Result<Connection<Incoming, Outgoing>, WireError>
where
    Incoming: DeserializeOwned,
    Outgoing: Serialize,
{
    let peer = address.to_string();
    let attempt = async {
        let stream = open_stream(source, address)
            .await
            .map_err(|source| WireError::Connect {
                peer: peer.clone(),
                source,
            })?;
        let connection = shake_hands(stream, address, hello).await?;
        if connection.hello.role != expected {
            return Err(WireError::Refused {
                peer: peer.clone(),
                reason: format!("its role is {:?}, not {expected:?}", connection.hello.role),
            });
        }
        Ok(connection)
    };
    match timeout(HANDSHAKE_TIMEOUT, attempt).await {
        Ok(result) => result,
        Err(_) => Err(WireError::HandshakeTimeout { peer }),
    }
}

async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Shakes hands on an accepted stream; the caller looks at the other side's role in
/// [`Connection::hello`] and then gives the halves their message types by [`Connection::retype`].
pub async fn accept(
    stream: TcpStream,
    peer_address: SocketAddr,
    hello: &Hello,
) -> Result<Connection<Hello, Hello>, WireError> {
    let shaken = shake_hands(stream, peer_address, hello);
    match timeout(HANDSHAKE_TIMEOUT, shaken).await {
        Ok(result) => result,
        Err(_) => Err(WireError::HandshakeTimeout {
            peer: peer_address.to_string(),
        }),
    }
}

impl<Incoming, Outgoing> Connection<Incoming, Outgoing> {
    /// The same connection with other message types.
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

async fn shake_hands<Incoming, Outgoing>(
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
    let theirs = reader.receive().await?;
    check_hello(&peer, hello, &theirs)?;
    let decoder = reader.inner.decoder_mut();
    decoder.set_max_frame_length(MAXIMUM_FRAME_BYTES);
    Ok(Connection {
        hello: theirs,
        peer_address,
        reader: reader.retype(),
        writer: writer.retype(),
    })
}

fn check_hello(peer: &str, ours: &Hello, theirs: &Hello) -> Result<(), WireError> {
    let refuse = |reason: String| {
        Err(WireError::Refused {
            peer: peer.to_owned(),
            reason,
        })
    };
    if theirs.protocol_version != ours.protocol_version {
        return refuse(format!(
            "it speaks protocol version {}, this process speaks {}",
            theirs.protocol_version, ours.protocol_version
        ));
    }
    if theirs.deployment != ours.deployment {
        return refuse(format!(
            "it belongs to deployment '{}', this process to '{}'",
            theirs.deployment, ours.deployment
        ));
    }
    Ok(())
}

fn decoder(maximum_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(maximum_frame_bytes)
        .new_codec()
}
