//! A fake platform that serves a list of machines over HTTP.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use sablehaven_control::{PlatformConfig, membership::PlatformList};
use sablehaven_types::BackendRecord;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor, writing::Json,
};
use tokio::net::TcpListener;

#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    machines: Arc<Mutex<Vec<BackendRecord>>>,
}

#[async_trait]
impl Handler for Platform {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let machines = self.machines.lock().expect("lock").clone();
        response.render(Json(PlatformList {
            machines,
            ..PlatformList::default()
        }));
    }
}

impl Platform {
    pub async fn start(machines: Vec<BackendRecord>) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any_port).await.expect("listen");
        let platform = Self {
            address: listener.local_addr().expect("address"),
            machines: Arc::new(Mutex::new(machines)),
        };
        let acceptor = TcpAcceptor::try_from(listener).expect("acceptor");
        let router = Router::with_path("machines").get(platform.clone());
        tokio::spawn(Server::new(acceptor).serve(router));
        platform
    }

    pub fn config(&self) -> PlatformConfig {
        PlatformConfig {
            url: format!("http://{}/machines", self.address),
            poll_interval_ms: 50,
        }
    }

    /// Replaces the list of machines.
    pub fn set_machines(&self, machines: Vec<BackendRecord>) {
        *self.machines.lock().expect("lock") = machines;
    }
}
