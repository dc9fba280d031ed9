//! A queue that serves accounts in round-robin order.

use std::collections::VecDeque;

use derive_more::{Display, Error};

use model::{AccountId, FastMap};

/// Error of a push that exceeds the account's limit of queued items.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("queue of account \"{account}\" is full")]
pub struct QueueFull {
    /// The account at its limit.
    pub account: AccountId,
}

/// Queues items per account: first in, first out within an account, round robin across accounts.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Invariant: contains no empty queue.
    queues: FastMap<AccountId, VecDeque<T>>,
    /// Accounts in the order in which they are served. Invariant: contains each account of
    /// `queues` exactly once.
    turn_order: VecDeque<AccountId>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { queues: FastMap::default(), turn_order: VecDeque::new() }
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an item to its account's queue, which may hold at most `limit` items.
    pub fn push(&mut self, account: &AccountId, item: T, limit: usize) -> Result<(), QueueFull> {
        let queued = self.queues.get(account).map_or(0, VecDeque::len);
        if queued >= limit {
            return Err(QueueFull { account: account.clone() });
        }
        if queued == 0 {
            self.turn_order.push_back(account.clone());
        }
        self.queues.entry(account.clone()).or_default().push_back(item);
        Ok(())
    }

    /// Removes and returns the oldest item of the next account in turn.
    pub fn pop(&mut self) -> Option<(AccountId, T)> {
        let account = self.turn_order.pop_front()?;
        let queue = self.queues.get_mut(&account)?;
        let item = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.remove(&account);
        } else {
            self.turn_order.push_back(account.clone());
        }
        Some((account, item))
    }

    /// Removes and returns all items for which `should_remove` returns `true`.
    pub fn remove_if(&mut self, should_remove: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (matching, remaining): (VecDeque<T>, VecDeque<T>) =
                std::mem::take(queue).into_iter().partition(|item| should_remove(item));
            *queue = remaining;
            removed.extend(matching);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.turn_order.retain(|account| self.queues.contains_key(account));
        removed
    }

    /// Returns the number of queued items over all accounts.
    pub fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.turn_order.is_empty()
    }
}
