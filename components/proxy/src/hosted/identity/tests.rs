//! Tests of authentication and of the header fields that backend servers get.

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;

use routes::{AccountEntry, ClientAccounts, HostedRoute, RouteTable};
use testkit::{HOSTED_HOST, account_entry, hosted_config, property_test_config, standard_routes};

use crate::hosted::identity::{CallerIdentity, MISSING_KEY, UNKNOWN_KEY, split_scheme};
use crate::hosted::refusal::HostedRefusal;

const KEY: &str = "rjvz48wuakn2ftimaj3n";
const OTHER_KEY: &str = "r26tta828m82thhkmgjq";
const NAME: HeaderName = HeaderName::from_static("x-account");
const PATH: &str = "/read/1";

/// Returns a configuration of the standard routes, which are all public or all not.
fn table(version: u64, entries: &[AccountEntry], is_public: bool) -> RouteTable {
    let routes = standard_routes();
    let routes = routes.into_iter().map(|route| HostedRoute { is_public, ..route }).collect();
    let mut table = hosted_config(version, routes);
    table.accounts = Some(ClientAccounts::new(entries.to_vec()).expect("the accounts are valid"));
    table
}

fn route(table: &RouteTable) -> &HostedRoute {
    table.find_route(HOSTED_HOST, PATH).expect("the table has the route")
}

fn entries() -> Vec<AccountEntry> {
    vec![account_entry("anna", &[KEY]), account_entry("boris", &[OTHER_KEY])]
}

fn with_key(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Token {key}")).expect("keys are header values");
    headers.insert(AUTHORIZATION, value);
    headers
}

fn authenticate(table: &RouteTable, headers: &HeaderMap) -> Result<CallerIdentity, HostedRefusal> {
    CallerIdentity::authenticate(table, route(table), headers)
}

fn check(identity: &CallerIdentity, table: &RouteTable) -> Result<(), HostedRefusal> {
    identity.check(table, HOSTED_HOST, PATH)
}

#[test]
fn only_the_scheme_of_keys_precedes_a_key() {
    for field in ["Token k", "token k", "TOKEN \t k ", " Token k"] {
        assert_eq!(split_scheme(field.as_bytes()), Some(&b"k"[..]), "{field}");
    }
    for field in ["", "Token", "Token ", "Tokenk", "Basic k", "k", "Token,k", "Tok\u{e9}n k"] {
        assert_eq!(split_scheme(field.as_bytes()), None, "{field}");
    }
    assert_eq!(split_scheme(b"Token a, Token b"), Some(&b"a, Token b"[..]));
}

#[test]
fn newer_configuration_decides_on_a_queued_request() {
    let identity = authenticate(&table(1, &entries(), false), &with_key(KEY));
    let identity = identity.expect("the key is known");
    let cases = [
        (table(2, &entries(), false), Ok(())),
        (table(2, &[account_entry("anna", &[OTHER_KEY, KEY])], false), Ok(())),
        (table(2, &[account_entry("anna", &[])], false), Err(UNKNOWN_KEY)),
        (table(2, &[], false), Err(UNKNOWN_KEY)),
        (table(2, &[account_entry("boris", &[KEY])], false), Err(HostedRefusal::AccountChanged)),
        // A public route serves it, but not as the account that it had.
        (table(2, &[], true), Err(HostedRefusal::AccountChanged)),
        (hosted_config(2, standard_routes()), Err(HostedRefusal::AccountChanged)),
    ];
    for (newer, expected) in cases {
        assert_eq!(check(&identity, &newer), expected, "{:?}", newer.accounts);
    }
    let mut without_route = hosted_config(2, Vec::new());
    without_route.accounts = table(1, &entries(), false).accounts;
    assert_eq!(check(&identity, &without_route), Err(HostedRefusal::NoRoute));
}

#[test]
fn request_without_a_key_is_checked_against_a_newer_configuration_too() {
    let without_key = HeaderMap::new();
    let identity = authenticate(&table(1, &entries(), true), &without_key);
    let identity = identity.expect("the route is public");
    assert_eq!(check(&identity, &table(2, &[], true)), Ok(()));
    assert_eq!(check(&identity, &table(2, &entries(), false)), Err(MISSING_KEY));
    // Without accounts, keys have not been read.
    let without_accounts = hosted_config(1, standard_routes());
    let identity = authenticate(&without_accounts, &with_key(KEY)).expect("no key is needed");
    assert_eq!(check(&identity, &hosted_config(2, Vec::new())), Ok(()));
    assert_eq!(check(&identity, &table(2, &entries(), false)), Err(HostedRefusal::AccountChanged));
}

#[test]
fn key_for_another_vm_is_hidden_from_debug_output() {
    let identity = authenticate(&table(1, &entries(), false), &with_key(KEY));
    let identity = identity.expect("the key is known");
    let mut headers = HeaderMap::new();
    let table = table(1, &entries(), false);
    identity.set_headers(&NAME, route(&table), &mut headers).expect("the name is valid");
    assert_eq!(headers[&NAME], "anna");
    identity.set_key(&NAME, &mut headers);
    assert_eq!(headers[AUTHORIZATION], format!("Token {KEY}"));
    assert!(!headers.contains_key(&NAME));
    assert!(!format!("{headers:?}").contains(KEY));
}

fn field_strategy() -> impl Strategy<Value = (String, String)> {
    let names = "([xX][-_.]account|authorization|accept|x-account-2|cookie|x[_-]other)";
    let values = format!("(Token {KEY}|token  {OTHER_KEY}|Basic {KEY}a|Bearer b|anna|boris|)");
    (names, proptest::string::string_regex(&values).expect("the expression is valid"))
}

proptest! {
    #![proptest_config(property_test_config(1_000))]

    /// Whatever a caller sends, a server gets one name of an account at most, which is that of the
    /// key, and no key.
    #[test]
    fn server_gets_the_account_of_the_key_and_nothing_else(
        fields in proptest::collection::vec(field_strategy(), 0..6),
        is_public in any::<bool>(),
    ) {
        let mut headers = HeaderMap::new();
        for (name, value) in &fields {
            let name: HeaderName = name.parse().expect("the name is valid");
            headers.append(name, HeaderValue::from_str(value).expect("the value is valid"));
        }
        let sent = headers.clone();
        let keys: Vec<&str> = sent
            .get_all(AUTHORIZATION)
            .iter()
            .map(|value| value.to_str().expect("it is text"))
            .collect();
        let expected = match keys[..] {
            [one] if one.ends_with(KEY) && one.starts_with("Token") => Some("anna"),
            [one] if one.ends_with(OTHER_KEY) => Some("boris"),
            _ => None,
        };
        let table = table(1, &entries(), is_public);
        let Ok(identity) = authenticate(&table, &sent) else {
            prop_assert!(expected.is_none() && !is_public);
            return Ok(());
        };
        prop_assert!(expected.is_some() || is_public);
        identity.set_headers(&NAME, route(&table), &mut headers).expect("the name is valid");
        let names: Vec<_> = headers
            .iter()
            .filter(|(name, _)| name.as_str().replace(['_', '.'], "-") == NAME.as_str())
            .map(|(_, value)| value.to_str().expect("it is text"))
            .collect();
        prop_assert_eq!(names, expected.into_iter().collect::<Vec<_>>());
        for value in headers.get_all(AUTHORIZATION) {
            let text = value.to_str().expect("it is text");
            prop_assert!(is_public && !text.to_lowercase().starts_with("token"), "{}", text);
        }
        for name in ["accept", "x-account-2", "cookie", "x-other", "x_other"] {
            let all = |headers: &HeaderMap| -> Vec<HeaderValue> {
                headers.get_all(name).iter().cloned().collect()
            };
            prop_assert_eq!(all(&headers), all(&sent));
        }
    }
}
