//! The platform's list of servers.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use crate::http::read_head;

/// Entries on one page.
const PAGE_ENTRIES: usize = 50;

/// The list, whose entries are JSON texts; cheap to clone.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<(String, String)>>>,
}

/// The JSON text of an entry.
pub fn entry(id: &str, service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    serde_json::json!({
        "id": id, "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 5, "state": state, "warmup_left_ms": 0,
    })
    .to_string()
}

impl List {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let list = Self {
            address: listener.local_addr().expect("address"),
            entries: Arc::default(),
        };
        let serving = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = serving.clone();
                thread::spawn(move || list.serve(stream));
            }
        });
        list
    }

    /// Adds the entry with this key, or replaces it.
    pub fn set(&self, key: &str, entry: String) {
        let mut entries = self.entries.lock().expect("list");
        match entries.iter_mut().find(|(known, _)| known == key) {
            Some((_, known)) => *known = entry,
            None => entries.push((key.to_owned(), entry)),
        }
    }

    /// Removes the entry with this key.
    pub fn remove(&self, key: &str) {
        let mut entries = self.entries.lock().expect("list");
        entries.retain(|(known, _)| known != key);
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("stream");
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let token = head.target().split_once("page_token=p-");
            let from = token.and_then(|(_, text)| text.split('&').next()?.parse().ok());
            let from: usize = from.unwrap_or(0);
            let entries = self.entries.lock().expect("list").clone();
            let page = entries.iter().skip(from).take(PAGE_ENTRIES);
            let page: Vec<&str> = page.map(|(_, entry)| entry.as_str()).collect();
            let next = match from + PAGE_ENTRIES < entries.len() {
                true => format!("\"p-{}\"", from + PAGE_ENTRIES),
                false => "null".to_owned(),
            };
            let body = format!(
                "{{\"instances\":[{}],\"next_token\":{next}}}",
                page.join(",")
            );
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}
