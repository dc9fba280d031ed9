//! On a hosting platform: the settings file changes while the daemon runs, with and without SIGHUP.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;
use testkit::{
    FREE_KEY, HostedDaemon, LIMITED_KEY, QUOTA, QuotaFleet, allowed_requests, call, eventually,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

const RELAYS: usize = 3;

/// Time within which VMs must serve again after a restart of all.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

async fn start_fleet(vms: usize) -> QuotaFleet {
    QuotaFleet::start(Path::new(DAEMON_PATH), RELAYS, vms, QUOTA).await
}

/// Names relays in the settings of daemons, with or without SIGHUP.
fn change_relays(daemons: &[HostedDaemon], relays: &[SocketAddr], is_signalled: bool) {
    for daemon in daemons {
        daemon.change_relays(relays);
        if is_signalled {
            daemon.reload_settings();
        }
    }
}

/// All relays are gone for good, and the settings name VMs that run in their place.
async fn check_recovery(is_restarted: bool, is_signalled: bool) {
    let mut fleet = start_fleet(2).await;
    let others = [RELAYS, RELAYS + 1];
    for daemon in &mut fleet.daemons[..RELAYS] {
        daemon.kill();
    }
    if is_restarted {
        for daemon in &mut fleet.daemons[RELAYS..] {
            daemon.kill();
            daemon.change_setting("first_start", json!(false));
            daemon.restart(Path::new(DAEMON_PATH));
            daemon.wait_ready().await;
        }
    }
    // Without any relay, only accounts with a quota are refused, and at once.
    for daemon in others {
        let response = call(&fleet.request(daemon, FREE_KEY)).await.expect("the daemon responds");
        assert_eq!(response.status, 200, "no quota");
    }
    let relays = others.map(|daemon| fleet.daemons[daemon].relay());
    change_relays(&fleet.daemons[RELAYS..], &relays, is_signalled);
    sleep(RECOVERY_TIME).await;
    let rate = 0.8 * QUOTA.rate.0;
    let (served, refused) = fleet.send(&others, LIMITED_KEY, rate, Duration::from_secs(4)).await;
    let sent = served + refused.len();
    assert!(
        served as f64 >= 0.95 * sent as f64,
        "{served} of {sent} were served, restarted {is_restarted}, SIGHUP {is_signalled}"
    );
}

/// Guards against RECOVER: VMs that restart while all relays are gone refuse every request of an
/// account with a quota, although the settings name others later.
#[tokio::test(flavor = "multi_thread")]
async fn accounts_are_served_after_a_restart_once_the_settings_name_other_relays() {
    tokio::join!(check_recovery(true, true), check_recovery(true, false));
}

/// The same while the other VMs run on.
#[tokio::test(flavor = "multi_thread")]
async fn accounts_are_served_once_the_settings_name_other_relays() {
    tokio::join!(check_recovery(false, true), check_recovery(false, false));
}

/// Guards against former relays that go on, and against VMs that stay with them.
#[tokio::test(flavor = "multi_thread")]
async fn relay_that_the_settings_no_longer_name_stops() {
    for is_signalled in [true, false] {
        let fleet = start_fleet(2).await;
        let relays = [fleet.daemons[0].relay(), fleet.daemons[RELAYS].relay()];
        change_relays(&fleet.daemons, &relays, is_signalled);
        for former in &fleet.daemons[1..RELAYS] {
            eventually("the former relay is a subscriber of another one", async || {
                let stopped = former.log_lines_containing("relay: stopped");
                let subscribed = former.log_lines_containing("relay: subscribed");
                let is_new = |relay: &str| relays.iter().any(|new| new.to_string() == relay);
                stopped.len() == 1
                    && subscribed.iter().any(|line| line["relay"].as_str().is_some_and(is_new))
            })
            .await;
        }
        eventually("the new relay serves subscribers", async || {
            let daemons = fleet.daemons.iter().filter(|daemon| !relays.contains(&daemon.relay()));
            let mut subscribed = daemons.flat_map(|daemon| {
                daemon.log_lines_containing("relay: subscribed").into_iter().next_back()
            });
            subscribed.all(|line| {
                relays.iter().any(|new| line["relay"].as_str() == Some(&*new.to_string()))
            })
        })
        .await;
    }
}

/// Settings that can't be used leave those before in effect, and are reported by name.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_leave_those_before_in_effect() {
    let fleet = start_fleet(1).await;
    let vm = &fleet.daemons[RELAYS];
    vm.change_setting("relays", json!(["10.0.0.1"]));
    vm.reload_settings();
    eventually("the error is logged", async || {
        let lines = vm.log_lines_containing("settings: reload failed");
        lines.iter().any(|line| line["reason"].as_str().is_some_and(|text| text.contains("relays")))
    })
    .await;
    let response = call(&fleet.request(RELAYS, LIMITED_KEY)).await.expect("the daemon responds");
    assert_eq!(response.status, 200);
    // The address of callers can't change while the daemon runs; all else does.
    let relays: Vec<_> = fleet.daemons[..2].iter().map(HostedDaemon::relay).collect();
    vm.change_relays(&relays);
    vm.change_setting("callers", json!("127.0.0.1:9"));
    eventually("the relays are in effect, and the address is named", async || {
        let kept = vm.log_lines_containing("a restart is needed");
        kept.iter().any(|line| line["names"] == "callers")
            && !vm.log_lines_containing("settings: changed, in effect now").is_empty()
    })
    .await;
    let response = call(&fleet.request(RELAYS, LIMITED_KEY)).await.expect("the daemon responds");
    assert_eq!(response.status, 200);
}

/// A grace time that changes while the daemon runs applies to its shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_follows_the_grace_time_in_the_settings() {
    let mut fleet = start_fleet(1).await;
    let vm = &fleet.daemons[RELAYS];
    // With 30 s, the notice takes 2.8 s.
    vm.change_setting("grace_s", json!(2));
    eventually("the change is in effect", async || {
        !vm.log_lines_containing("settings: changed, in effect now").is_empty()
    })
    .await;
    vm.terminate();
    eventually("the process has exited", async || fleet.daemons[RELAYS].exit_status().is_some())
        .await;
    let lines = fleet.daemons[RELAYS].log_lines_containing("daemon: s");
    let at = |text: &str| {
        let line = lines.iter().find(|line| line["msg"].as_str() == Some(text));
        line.and_then(|line| line["ts"].as_u64()).expect("the line is logged")
    };
    let took_ms = at("daemon: stopped") - at("daemon: shutdown begins");
    assert!(took_ms < 2_000, "the shutdown took {took_ms} ms");
}

/// Guards against QUOTA: relays that the settings no longer name grant credits beside the new ones
/// until their own settings have changed.
#[tokio::test(flavor = "multi_thread")]
async fn quota_is_kept_while_all_relays_are_replaced() {
    // Running VMs become relays, or VMs that restart do.
    tokio::join!(check_replacement(false), check_replacement(true));
}

async fn check_replacement(is_restarted: bool) {
    let mut fleet = start_fleet(RELAYS).await;
    let relays: Vec<_> = fleet.daemons[RELAYS..].iter().map(HostedDaemon::relay).collect();
    let all: Vec<usize> = (0..2 * RELAYS).collect();
    let (served_before, _) = fleet.send(&all, LIMITED_KEY, 120.0, Duration::from_secs(3)).await;
    change_relays(&fleet.daemons[RELAYS..], &relays, !is_restarted);
    for daemon in fleet.daemons[RELAYS..].iter_mut().filter(|_| is_restarted) {
        daemon.kill();
        daemon.change_setting("first_start", json!(false));
        daemon.restart(Path::new(DAEMON_PATH));
        daemon.wait_ready().await;
    }
    let sending = Duration::from_secs(10);
    let change_others = async {
        // The settings of other VMs may change as much later (`relay_change_s`).
        sleep(Duration::from_millis(2_500)).await;
        change_relays(&fleet.daemons[..RELAYS], &relays, false);
    };
    let (sent, ()) = tokio::join!(fleet.send(&all, LIMITED_KEY, 120.0, sending), change_others);
    let (served, refused) = sent;
    let (largest, allowed) = (fleet.largest_window() as f64, allowed_requests(QUOTA));
    println!(
        "served {served_before}, then {served}, refused {}, largest window {largest}",
        refused.len()
    );
    assert!(largest <= allowed, "{largest} requests, {allowed} are allowed, {is_restarted}");
    let owed = QUOTA.rate.0 * sending.as_secs_f64();
    assert!(served as f64 >= 0.6 * owed, "{served} of {owed} were served, {is_restarted}");
}

/// A relay that restarts while its set of relays is known to be settled grants credits at once.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_relays_of_a_settled_set_interrupts_no_account_for_long() {
    let mut fleet = start_fleet(1).await;
    for daemon in &mut fleet.daemons {
        daemon.kill();
        daemon.change_setting("first_start", json!(false));
        daemon.restart(Path::new(DAEMON_PATH));
    }
    for daemon in &mut fleet.daemons {
        daemon.wait_ready().await;
    }
    for relay in &fleet.daemons[..RELAYS] {
        eventually("the relay knows that its set is settled", async || {
            !relay.log_lines_containing("the set of relays was settled before").is_empty()
        })
        .await;
    }
    eventually("the account is served", async || {
        let response = call(&fleet.request(RELAYS, LIMITED_KEY)).await;
        response.expect("the daemon responds").status == 200
    })
    .await;
}
