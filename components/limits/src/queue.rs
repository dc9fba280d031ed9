//! A queue that serves accounts in turn.

use std::collections::VecDeque;

use derive_more::{Display, Error};

use model::{AccountId, FastMap};

/// The account's part of the queue is full.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("queue of account \"{account}\" is full")]
pub struct QueueFull {
    /// The account.
    pub account: AccountId,
}

/// Items of many accounts; each account's are served in order, and accounts in turn.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Invariant: holds no empty queue.
    queues: FastMap<AccountId, VecDeque<T>>,
    /// Invariant: names each account of `queues` once.
    turn_order: VecDeque<AccountId>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { queues: FastMap::default(), turn_order: VecDeque::new() }
    }
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item behind those of its account, of which at most `limit` may wait.
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

    /// Takes the next item of the account whose turn it is.
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

    /// Takes out all items that `should_remove` names.
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

    /// Items that wait, over all accounts.
    pub fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.turn_order.is_empty()
    }
}
