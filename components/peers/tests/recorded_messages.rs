//! Messages recorded from earlier versions of the daemon: what they lack is never taken for absent.
//!
//! A line of a recording is the name of a message and its CBOR encoding in hexadecimal digits.
//! `format-0.txt` was recorded at commit fbef7ac, before client accounts and evacuations.

use peers::{HeldVersions, RelayMessage, SubscriberMessage};
use routes::CONFIG_FORMAT;
use serde::de::DeserializeOwned;

const FORMAT_0: &str = include_str!("recorded/format-0.txt");

fn decode<T: DeserializeOwned>(name: &str) -> T {
    let mut lines = FORMAT_0.lines().filter_map(|line| line.split_once(' '));
    let (_, digits) = lines.find(|(recorded, _)| *recorded == name).expect("it was recorded");
    let bytes: Vec<u8> = digits
        .as_bytes()
        .chunks(2)
        .map(|pair| {
            let pair = str::from_utf8(pair).expect("digits are ASCII");
            u8::from_str_radix(pair, 16).expect("digits are hexadecimal")
        })
        .collect();
    ciborium::from_reader(bytes.as_slice()).expect("the message can be decoded")
}

/// Without accounts it looks like a configuration in which requests need no key.
#[test]
fn recorded_configuration_has_an_older_format() {
    let RelayMessage::Config(table) = decode("config") else {
        panic!("not a configuration");
    };
    assert_eq!((table.format, table.version.0), (0, 90));
    assert!(table.format < CONFIG_FORMAT);
    assert!(table.accounts.is_none());
    assert!(table.services.values().all(|service| service.warm_up.is_none()));
    let routes: Vec<_> = table.hosts().flat_map(|(_, routes)| routes).collect();
    assert!(routes.iter().all(|route| !route.is_public), "{routes:?}");
}

#[test]
fn recorded_keep_alive_has_an_older_format() {
    let message: RelayMessage = decode("keep-alive");
    assert!(
        matches!(message, RelayMessage::KeepAlive { format: 0, members: 3, era: 0, .. }),
        "{message:?}"
    );
}

#[test]
fn recorded_subscriber_knows_neither_evacuations_nor_credits() {
    let held: HeldVersions = decode("held-versions");
    assert_eq!((held.format, held.evacuations), (0, None));
    assert_eq!(held.config, Some(7));
    assert!(held.exchanges_crash_reports && held.accepts_compressed && !held.is_relay);
}

#[test]
fn other_recorded_messages_are_understood() {
    assert!(matches!(
        decode("servers"),
        RelayMessage::Servers { records, .. } if records.len() == 1
    ));
    assert!(matches!(
        decode("changes"),
        RelayMessage::Changes { changes, .. } if changes.len() == 2
    ));
    assert!(matches!(decode("helpers"), RelayMessage::Helpers(helpers) if helpers.len() == 1));
    assert!(matches!(
        decode("crash-reports"),
        RelayMessage::CrashReports(reports) if reports.len() == 1
    ));
    assert!(matches!(
        decode("subscriber-helpers"),
        SubscriberMessage::Helpers { needs_helpers: true, .. }
    ));
    assert!(matches!(
        decode("subscriber-crash-reports"),
        SubscriberMessage::CrashReports(reports) if reports.len() == 1
    ));
}
