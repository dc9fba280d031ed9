//! Whole fleets under load and faults.

use super::*;

#[test]
fn accounts_below_their_quota_are_served() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 1);
        fleet.add_usual_load(END);
        fleet.run(END);
        let served = fleet.served_except(&[]);
        print_result("usual", size, &fleet, served);
        assert!(served >= MIN_SERVED, "{served} with {size:?}");
    }
}

#[test]
fn hot_account_gets_its_quota_and_costs_the_others_nothing() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 2);
        fleet.add_usual_load(END);
        let usual = usual_rates()[1];
        fleet.add_load(1, usual * 5.0, Duration::from_secs(5), Duration::from_secs(15), None);
        fleet.run(END);
        let served = fleet.served_except(&[1]);
        print_result("hot account", size, &fleet, served);
        assert!(served >= MIN_SERVED, "{served} with {size:?}");
        let runs = fleet
            .runs
            .iter()
            .filter(|run| run.account == 1 && (5..15).contains(&run.at.as_secs()))
            .count() as f64;
        let owed = usual * QUOTA_RATIO * 10.0;
        assert!(runs >= MIN_SERVED * owed, "{runs} of {owed} with {size:?}");
    }
}

#[test]
fn account_whose_requests_all_arrive_at_one_vm_gets_its_whole_rate() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 3);
        let rates = usual_rates();
        for (account, rate) in rates.iter().enumerate() {
            // Nine tenths of the quota.
            let rate = rate * QUOTA_RATIO * 0.9;
            let vm = Some(account % size.0);
            fleet.add_load(account, rate, Duration::from_secs(1), END, vm);
        }
        fleet.run(END);
        let served = fleet.served_except(&[]);
        print_result("one VM", size, &fleet, served);
        assert!(served >= MIN_SERVED, "{served} with {size:?}");
    }
}

#[test]
fn sum_is_kept_while_relays_are_lost_and_start_again() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 4);
        fleet.add_usual_load(END);
        for account in [0, 3] {
            let rate = usual_rates()[account] * 5.0;
            fleet.add_load(account, rate, Duration::from_secs(2), END, None);
        }
        for (relay, at) in (0..size.1).zip([4_000, 6_000, 8_000]) {
            fleet.schedule(Duration::from_millis(at), Event::StopRelay(relay));
            fleet.schedule(Duration::from_millis(at + 1_500), Event::StartRelay(relay));
        }
        for relay in 0..size.1 {
            fleet.schedule(Duration::from_secs(14), Event::StopRelay(relay));
            fleet.schedule(Duration::from_millis(15_000), Event::StartRelay(relay));
        }
        fleet.run(END);
        let served = fleet.served_except(&[0, 3]);
        print_result("relays restarted", size, &fleet, served);
    }
}

#[test]
fn sum_is_kept_while_vms_are_frozen_and_cut_off() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 5);
        fleet.add_usual_load(END);
        for account in [0, 3] {
            let rate = usual_rates()[account] * 5.0;
            fleet.add_load(account, rate, Duration::from_secs(2), END, None);
        }
        let some: Vec<usize> = (0..size.0).filter(|vm| vm % 3 == 0).collect();
        let others: Vec<usize> = (0..size.0).filter(|vm| vm % 3 == 1).collect();
        let all: Vec<usize> = (0..size.0).collect();
        let event = Event::Freeze { vms: some.clone(), until: Duration::from_secs(7) };
        fleet.schedule(Duration::from_secs(4), event);
        let event = Event::Cut { vms: others, until: Duration::from_secs(9) };
        fleet.schedule(Duration::from_secs(5), event);
        let event = Event::Freeze { vms: all.clone(), until: Duration::from_secs(13) };
        fleet.schedule(Duration::from_secs(12), event);
        let event = Event::Cut { vms: all, until: Duration::from_secs(19) };
        fleet.schedule(Duration::from_secs(15), event);
        fleet.run(END);
        let served = fleet.served_except(&[0, 3]);
        print_result("frozen and cut off", size, &fleet, served);
    }
}

#[test]
fn sum_is_kept_while_the_fleet_grows() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 8);
        let grown_at = Duration::from_secs(8);
        let first = size.0.div_ceil(2);
        fleet.events.retain(|_, event| event_vm(event).is_none_or(|vm| vm < first));
        for vm in first..size.0 {
            fleet.schedule(grown_at, Event::Subscribe { vm });
        }
        for (account, rate) in usual_rates().into_iter().enumerate() {
            // Two accounts are over their quota.
            let rate = if account < 2 { rate * 5.0 } else { rate };
            fleet.add_load(account, rate, Duration::from_secs(1), grown_at, Some(account % first));
            fleet.add_load(account, rate, grown_at + SUBSCRIPTION, END, None);
        }
        fleet.run(END);
        let served = fleet.served_except(&[0, 1]);
        print_result("growth", size, &fleet, served);
        assert!(served >= MIN_SERVED, "{served} with {size:?}");
    }
}

/// Guards against VMs without a relay that together exceed the quota, also after a long time
/// without requests.
#[test]
fn vms_without_a_relay_use_only_what_no_other_has() {
    let quota_of_all = quota(200.0, 10.0);
    for vm_count in [3, 100, 500] {
        let mut fleet = Fleet::new(vm_count, 1, 6);
        fleet.quotas = vec![Some(quota_of_all)];
        fleet.schedule(Duration::from_secs(1), Event::StopRelay(0));
        let (from, until) = (Duration::from_secs(40), Duration::from_secs(60));
        fleet.add_load(0, 5_000.0, from, until, None);
        fleet.run(until);
        let largest = fleet.largest_window(0, Duration::ZERO) as f64;
        println!("without a relay: {vm_count} VMs, largest window {largest}");
        let spare = quota_of_all.rate.0 * WINDOW.as_secs_f64() * OVER / 4.0 + SLACK / 4.0;
        assert!(largest <= spare, "{largest} of {vm_count} VMs, {spare} allowed");
    }
}

#[test]
fn lowered_limit_takes_hold_and_a_raised_one_is_used_at_once() {
    for size in SIZES {
        let mut fleet = Fleet::new(size.0, size.1, 7);
        let (high, low) = (quota(100.0, 50.0), quota(10.0, 5.0));
        fleet.quotas = vec![Some(high)];
        fleet.schedule(Duration::ZERO, Event::SetQuota { account: 0, quota: Some(high) });
        fleet.add_load(0, 90.0, Duration::from_secs(1), Duration::from_secs(30), None);
        let lowered_at = Duration::from_secs(8);
        let raised_at = Duration::from_secs(18);
        fleet.schedule(lowered_at, Event::SetQuota { account: 0, quota: Some(low) });
        fleet.schedule(raised_at, Event::SetQuota { account: 0, quota: Some(high) });
        fleet.run(raised_at);
        let largest = fleet.largest_window(0, lowered_at) as f64;
        assert!(largest <= allowed(low), "{largest} with {size:?}");
        fleet.run(Duration::from_secs(30));
        let served = fleet.served(0, raised_at + Duration::from_secs(1), Duration::from_secs(29));
        println!("raised: {size:?}: served {served:.4}");
        assert!(served >= MIN_SERVED, "{served} with {size:?}");
    }
}
