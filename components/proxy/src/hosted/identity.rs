//! Client accounts of callers: authentication of requests, and the header fields that tell backend
//! servers of it.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};

use routes::{ClientAccount, ClientAccounts, HostedRoute, KeyHash, RouteTable};

use crate::hosted::refusal::{HostedRefusal, KEY_SCHEME};

const MISSING_KEY: HostedRefusal =
    HostedRefusal::Unauthorized("the request has none, or more than one Authorization field");

const UNKNOWN_KEY: HostedRefusal = HostedRefusal::Unauthorized("no client account has it");

/// Key that a caller sent.
pub(crate) struct CallerKey {
    hash: KeyHash,
    /// The header field for another entry VM that authenticates the request too.
    header: HeaderValue,
}

/// Who sent a request.
#[derive(Default)]
pub(crate) struct CallerIdentity {
    /// Account of the key; `None` if the key is not needed and not known.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// Whether the configuration has client accounts.
    has_accounts: bool,
    key: Option<CallerKey>,
}

impl CallerIdentity {
    /// Authenticates a request by the configuration in force.
    pub(crate) fn authenticate(
        table: &RouteTable,
        route: &HostedRoute,
        headers: &HeaderMap,
    ) -> Result<Self, HostedRefusal> {
        let Some(accounts) = &table.accounts else {
            return Ok(Self::default());
        };
        let key = read_key(headers);
        let account = find_account(accounts, route, key.as_ref().map(|key| &key.hash))?;
        Ok(Self { account, has_accounts: true, key })
    }

    /// Checks that a newer configuration still has a route for the request and gives it the same
    /// account. Without client accounts, the route by which it started is enough.
    pub(crate) fn check(
        &self,
        table: &RouteTable,
        host: &str,
        path: &str,
    ) -> Result<(), HostedRefusal> {
        let accounts = match &table.accounts {
            Some(accounts) if self.has_accounts => accounts,
            None if !self.has_accounts => return Ok(()),
            _ => return Err(HostedRefusal::AccountChanged),
        };
        let route = table.find_route(host, path).ok_or(HostedRefusal::NoRoute)?;
        let found = find_account(accounts, route, self.key.as_ref().map(|key| &key.hash))?;
        match name_of(found.as_deref()) == name_of(self.account.as_deref()) {
            true => Ok(()),
            false => Err(HostedRefusal::AccountChanged),
        }
    }

    /// Removes the key and all forged names of accounts from what a caller sent, and names its
    /// account for backend servers.
    pub(crate) fn set_headers(
        &self,
        name: &HeaderName,
        route: &HostedRoute,
        headers: &mut HeaderMap,
    ) -> Result<(), HostedRefusal> {
        let forged: Vec<HeaderName> =
            headers.keys().filter(|header| may_fold_to(header, name)).cloned().collect();
        for header in forged {
            headers.remove(header);
        }
        if self.has_accounts {
            remove_keys(headers, route.is_public);
        }
        if let Some(account) = &self.account {
            let value = HeaderValue::from_bytes(account.name.0.as_bytes())
                .map_err(|_| HostedRefusal::AccountChanged)?;
            headers.insert(name, value);
        }
        Ok(())
    }

    /// Replaces the name of the account by the key, for another entry VM, which authenticates the
    /// request itself.
    pub(crate) fn set_key(&self, name: &HeaderName, headers: &mut HeaderMap) {
        headers.remove(name);
        if let Some(key) = &self.key {
            headers.insert(AUTHORIZATION, key.header.clone());
        }
    }
}

fn name_of(account: Option<&ClientAccount>) -> Option<&str> {
    account.map(|account| &*account.name.0)
}

fn find_account(
    accounts: &ClientAccounts,
    route: &HostedRoute,
    key: Option<&KeyHash>,
) -> Result<Option<Arc<ClientAccount>>, HostedRefusal> {
    let account = key.and_then(|key| accounts.find(key));
    match account {
        Some(_) => Ok(account.cloned()),
        None if route.is_public => Ok(None),
        None if key.is_some() => Err(UNKNOWN_KEY),
        None => Err(MISSING_KEY),
    }
}

/// Reads the key of a request; `None` if it has none or more than one `Authorization` field.
fn read_key(headers: &HeaderMap) -> Option<CallerKey> {
    let mut fields = headers.get_all(AUTHORIZATION).iter();
    let (field, None) = (fields.next()?, fields.next()) else {
        return None;
    };
    let key = split_scheme(field.as_bytes())?;
    let mut header = field.clone();
    header.set_sensitive(true);
    Some(CallerKey { hash: KeyHash::of_key(key), header })
}

/// Returns what follows the scheme of keys; `None` if a field has another scheme or nothing
/// follows.
fn split_scheme(field: &[u8]) -> Option<&[u8]> {
    let field = field.trim_ascii();
    let (scheme, rest) = field.split_at_checked(KEY_SCHEME.len())?;
    let key = rest.trim_ascii_start();
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes()) && key.len() < rest.len();
    (is_key && !key.is_empty()).then_some(key)
}

/// Whether a server may take a header field for another one: gateway interfaces replace characters
/// that can't be in the names of variables.
fn may_fold_to(header: &HeaderName, name: &HeaderName) -> bool {
    let fold = |byte: u8| if byte.is_ascii_alphanumeric() { byte } else { b'-' };
    let (header, name) = (header.as_str().bytes(), name.as_str().bytes());
    header.map(fold).eq(name.map(fold))
}

/// Removes keys. On a public route, fields of other schemes are for the server.
fn remove_keys(headers: &mut HeaderMap, is_public: bool) {
    let fields: Vec<HeaderValue> = headers.get_all(AUTHORIZATION).iter().cloned().collect();
    headers.remove(AUTHORIZATION);
    for field in fields.into_iter().filter(|field| is_public && !mentions_scheme(field)) {
        headers.append(AUTHORIZATION, field);
    }
}

/// Whether a field may contain a key, also behind the credentials of another scheme.
fn mentions_scheme(field: &HeaderValue) -> bool {
    let scheme = KEY_SCHEME.as_bytes();
    let is_separator = |byte: &u8| byte.is_ascii_whitespace() || matches!(byte, b',' | b';');
    field.as_bytes().split(is_separator).any(|word| word.eq_ignore_ascii_case(scheme))
}

#[cfg(test)]
mod tests;
