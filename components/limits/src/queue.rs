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
    waiting: FastMap<AccountId, VecDeque<T>>,
    /// Invariant: names each account of `waiting` once.
    turns: VecDeque<AccountId>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { waiting: FastMap::default(), turns: VecDeque::new() }
    }
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item behind those of its account, of which at most `limit` may wait.
    pub fn push(&mut self, account: &AccountId, item: T, limit: usize) -> Result<(), QueueFull> {
        let queue = self.waiting.get(account).map_or(0, VecDeque::len);
        if queue >= limit {
            return Err(QueueFull { account: account.clone() });
        }
        if queue == 0 {
            self.turns.push_back(account.clone());
        }
        self.waiting.entry(account.clone()).or_default().push_back(item);
        Ok(())
    }

    /// Takes the next item of the account whose turn it is.
    pub fn pop(&mut self) -> Option<(AccountId, T)> {
        let account = self.turns.pop_front()?;
        let queue = self.waiting.get_mut(&account)?;
        let item = queue.pop_front()?;
        if queue.is_empty() {
            self.waiting.remove(&account);
        } else {
            self.turns.push_back(account.clone());
        }
        Some((account, item))
    }

    /// Takes out all items that `is_done` names.
    pub fn remove_if(&mut self, is_done: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.waiting.values_mut() {
            let (gone, kept): (VecDeque<T>, VecDeque<T>) =
                std::mem::take(queue).into_iter().partition(|item| is_done(item));
            *queue = kept;
            removed.extend(gone);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|account| self.waiting.contains_key(account));
        removed
    }

    /// Items that wait, over all accounts.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
