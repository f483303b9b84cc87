//! Internal messages between the control replicas, relays, agents and gateways, their framing and the
//! version handshake.
//!
//! Each side starts a connection by sending a [`Hello`]. A frame consists of its length, as four
//! bytes in big-endian order, and one value encoded with `rmp-serde`.

mod clock;
mod connect_timeout;
mod connection;
mod encoded;
mod frame_queue;
mod lease;
mod message;
mod suspension_clock;

pub use clock::MonotonicClock;
pub use connect_timeout::ConnectTimeout;
pub use connection::{
    Connection, FrameReader, FrameWriter, MAXIMUM_FRAME_BYTES, MAXIMUM_HELLO_BYTES,
    PROTOCOL_VERSION, WireError, accept, connect, connect_from,
};
pub use encoded::EncodedMessage;
pub use lease::{CLOCK_DRIFT_PER_MILLE, LeaseProof, LeaseRequests};
pub use message::{
    AgentStatus, AgentToRelay, ControlToGateway, ControlToRelay, DeploymentMembers, GatewayLoad,
    GatewayStatus, GatewayToControl, Hello, LeaseGrant, PeerMessage, RelayToAgent, RelayToControl,
    Role, StateUpdate, StateVersions, UpdateCheck,
};
pub use suspension_clock::{BootTimeClock, SuspendAwareClock};
