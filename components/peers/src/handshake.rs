//! Mutual authentication by HMAC-SHA256 over both sides' random numbers.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use model::VmId;

use crate::wire::{CborSocket, PeerFault};

/// Who this entry VM is to its peers.
#[derive(Clone)]
pub struct PeerIdentity {
    /// This VM.
    pub vm: VmId,
    /// The secret that all entry VMs share. Invariant: never sent.
    key: Arc<str>,
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    nonce: u128,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    vm: VmId,
    nonce: u128,
    proof: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Welcome {
    vm: VmId,
    proof: Vec<u8>,
}

impl PeerIdentity {
    /// An identity with the shared key.
    pub fn new(vm: VmId, key: &str) -> Self {
        Self { vm, key: key.into() }
    }

    /// Proves knowledge of the key to the VM that was dialed, and learns who it is.
    pub(crate) async fn greet(&self, socket: &mut CborSocket) -> Result<VmId, PeerFault> {
        let (challenge, _) = socket.receive::<Challenge>().await?;
        let nonce: u128 = rand::random();
        let proof = self.proof("dial", challenge.nonce, nonce, &self.vm);
        socket
            .send(&Hello {
                vm: self.vm.clone(),
                nonce,
                proof: proof.finalize().into_bytes().to_vec(),
            })
            .await?;
        let (welcome, _) = socket.receive::<Welcome>().await?;
        self.proof("accept", challenge.nonce, nonce, &welcome.vm)
            .verify_slice(&welcome.proof)
            .map_err(|_| PeerFault::WrongKey)?;
        Ok(welcome.vm)
    }

    /// Demands proof of the key from a VM that dialed, and learns who it is.
    pub(crate) async fn admit(&self, socket: &mut CborSocket) -> Result<VmId, PeerFault> {
        let nonce: u128 = rand::random();
        socket.send(&Challenge { nonce }).await?;
        let (hello, _) = socket.receive::<Hello>().await?;
        self.proof("dial", nonce, hello.nonce, &hello.vm)
            .verify_slice(&hello.proof)
            .map_err(|_| PeerFault::WrongKey)?;
        let proof = self.proof("accept", nonce, hello.nonce, &self.vm);
        socket
            .send(&Welcome { vm: self.vm.clone(), proof: proof.finalize().into_bytes().to_vec() })
            .await?;
        Ok(hello.vm)
    }

    fn proof(&self, side: &str, challenge: u128, nonce: u128, vm: &VmId) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(self.key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(side.as_bytes());
        mac.update(&challenge.to_be_bytes());
        mac.update(&nonce.to_be_bytes());
        mac.update(vm.as_str().as_bytes());
        mac
    }
}
