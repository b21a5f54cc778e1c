//! Encodes the list of servers for another router, and decodes it.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use catkin_peer::messages::{ListedServer, ServerListCopy};

use crate::record::ServerRecord;
use crate::server_book::{KnownServer, ServerBook};
use crate::store_point::StorePoint;

/// A decoded list of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerList {
    /// Point of the store that the list reflects.
    pub point: StorePoint,
    /// Name, point of the last change and content of each entry.
    pub entries: Vec<(String, StorePoint, Option<ServerRecord>)>,
}

/// Encodes the servers of `book` whose entries are in the store.
pub fn encode_server_list(book: &ServerBook) -> ServerListCopy {
    let mut services = NameTable::default();
    let mut domains = NameTable::default();
    let mut software = NameTable::default();
    let listed = book.iter().filter(|known| !known.is_missing());
    let rows = listed
        .map(|known| encode_server(known, &mut services, &mut domains, &mut software))
        .collect();
    ServerListCopy {
        revision: book.point().as_number(),
        services: services.names,
        domains: domains.names,
        rows,
        software: software.names,
    }
}

/// Decodes a list; `None` if a row has an invalid address or refers to a missing name.
pub fn decode_server_list(copy: &ServerListCopy) -> Option<ServerList> {
    let entries = copy.rows.iter().map(|row| {
        let record = decode_server(copy, row)?;
        Some((row.name.clone(), StorePoint::from_number(row.revision), Some(record)))
    });
    let point = StorePoint::from_number(copy.revision);
    Some(ServerList { point, entries: entries.collect::<Option<_>>()? })
}

/// Names that rows refer to by index, in the order of their first use.
#[derive(Default)]
struct NameTable {
    names: Vec<String>,
    indices: BTreeMap<String, u32>,
}

impl NameTable {
    fn find_index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }
}

fn encode_server(
    known: &KnownServer,
    services: &mut NameTable,
    domains: &mut NameTable,
    software: &mut NameTable,
) -> ListedServer {
    let record = &known.record;
    let (ipv4, ipv6) = match record.address.ip() {
        IpAddr::V4(ip) => (ip.to_bits(), Vec::new()),
        IpAddr::V6(ip) => (0, ip.octets().to_vec()),
    };
    ListedServer {
        name: known.name.clone(),
        revision: known.point.as_number(),
        service: services.find_index(&record.service),
        domain: domains.find_index(&record.domain),
        slots: record.slots,
        leaving: record.leaving,
        started_unix_millis: record.started_unix_millis,
        ipv4,
        port: record.address.port().into(),
        ipv6,
        software: Some(software.find_index(&record.software)),
        cold_millis: record.cold_millis,
    }
}

fn decode_server(copy: &ServerListCopy, row: &ListedServer) -> Option<ServerRecord> {
    let ip = match <[u8; 16]>::try_from(row.ipv6.as_slice()) {
        Ok(octets) => IpAddr::V6(Ipv6Addr::from(octets)),
        Err(_) if row.ipv6.is_empty() => IpAddr::V4(Ipv4Addr::from_bits(row.ipv4)),
        Err(_) => return None,
    };
    let software = match row.software {
        Some(index) => copy.software.get(index as usize)?.clone(),
        None => String::new(),
    };
    Some(ServerRecord {
        service: copy.services.get(row.service as usize)?.clone(),
        address: SocketAddr::new(ip, u16::try_from(row.port).ok()?),
        domain: copy.domains.get(row.domain as usize)?.clone(),
        slots: row.slots,
        leaving: row.leaving,
        software,
        started_unix_millis: row.started_unix_millis,
        cold_millis: row.cold_millis,
    })
}
