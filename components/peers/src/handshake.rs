//! Mutual authentication with HMAC-SHA256 over the nonces of both sides.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use model::VmId;

use crate::wire::{CborSocket, PeerError};

/// Identity that this entry VM presents to its peers.
#[derive(Clone)]
pub struct PeerIdentity {
    /// ID of this entry VM.
    pub vm: VmId,
    /// Secret key shared by all entry VMs. Invariant: never sent.
    key: Arc<str>,
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    nonce: u128,
}

#[derive(Serialize, Deserialize)]
struct DialerProof {
    vm: VmId,
    nonce: u128,
    proof: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct AcceptorProof {
    vm: VmId,
    proof: Vec<u8>,
}

impl PeerIdentity {
    /// Creates an identity with the shared key.
    pub fn new(vm: VmId, key: &str) -> Self {
        Self { vm, key: key.into() }
    }

    /// Proves knowledge of the key to the dialed VM, verifies that VM's proof and returns its ID.
    pub(crate) async fn authenticate_as_dialer(
        &self,
        socket: &mut CborSocket,
    ) -> Result<VmId, PeerError> {
        let (challenge, _) = socket.receive::<Challenge>().await?;
        let nonce: u128 = rand::random();
        let mac = self.proof_mac("dial", challenge.nonce, nonce, &self.vm);
        socket
            .send(&DialerProof {
                vm: self.vm.clone(),
                nonce,
                proof: mac.finalize().into_bytes().to_vec(),
            })
            .await?;
        let (acceptor_proof, _) = socket.receive::<AcceptorProof>().await?;
        self.proof_mac("accept", challenge.nonce, nonce, &acceptor_proof.vm)
            .verify_slice(&acceptor_proof.proof)
            .map_err(|_| PeerError::KeyMismatch)?;
        Ok(acceptor_proof.vm)
    }

    /// Verifies the proof of the dialing VM, proves knowledge of the key in turn and returns that
    /// VM's ID.
    pub(crate) async fn authenticate_as_acceptor(
        &self,
        socket: &mut CborSocket,
    ) -> Result<VmId, PeerError> {
        let nonce: u128 = rand::random();
        socket.send(&Challenge { nonce }).await?;
        let (dialer_proof, _) = socket.receive::<DialerProof>().await?;
        self.proof_mac("dial", nonce, dialer_proof.nonce, &dialer_proof.vm)
            .verify_slice(&dialer_proof.proof)
            .map_err(|_| PeerError::KeyMismatch)?;
        let mac = self.proof_mac("accept", nonce, dialer_proof.nonce, &self.vm);
        socket
            .send(&AcceptorProof {
                vm: self.vm.clone(),
                proof: mac.finalize().into_bytes().to_vec(),
            })
            .await?;
        Ok(dialer_proof.vm)
    }

    fn proof_mac(&self, role: &str, challenge: u128, nonce: u128, vm: &VmId) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(self.key.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(role.as_bytes());
        mac.update(&challenge.to_be_bytes());
        mac.update(&nonce.to_be_bytes());
        mac.update(vm.as_str().as_bytes());
        mac
    }
}
