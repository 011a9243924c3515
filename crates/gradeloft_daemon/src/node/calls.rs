//! The listener for peers, and the calls that both roles serve in the same way.

use std::{net::SocketAddr, rc::Rc};

use gradeloft_wire::frame::{Call, Reply};

use super::{Node, config, peers, shares};
use crate::transport::server::{self, Handler, Limits, Outgoing, Server};

/// Copies of a call while it is received.
const CALL_COPIES: usize = 2;

/// Starts a node's listener for peers.
pub async fn listen(node: &Rc<Node>, handler: Rc<dyn Handler>) -> std::io::Result<SocketAddr> {
    let share = shares::peers(&node.settings);
    let limits = Limits {
        frame_bytes: node.limits.frame_bytes as usize,
        streams: node.limits.streams_per_connection,
        connections: node.limits.connections as usize,
        shared_bytes: share.shared_bytes(node.limits.frame_bytes as usize * CALL_COPIES),
        buffers: server::LARGE_BUFFERS,
    };
    let scope = Rc::clone(&node.scope);
    let server = Server::start(&node.settings.listen.peer, limits, scope, handler).await?;
    Ok(server.address())
}

/// Serves the calls that both roles serve in the same way. Other calls end without a reply.
pub async fn serve(node: Rc<Node>, call: Call, outgoing: Outgoing) {
    match call {
        Call::Watch => peers::serve_watch(node, outgoing).await,
        Call::Sync { number } => {
            let head = node.chain.borrow().head().map(|it| it.signed.clone());
            let newer = head.filter(|_| number < node.chain.borrow().number());
            outgoing
                .finish(&Reply::Bundles(newer.into_iter().collect()))
                .await;
        }
        Call::Push(signed) => {
            config::adopt(&node, &signed);
            outgoing.finish(&Reply::Bundles(Vec::new())).await;
        }
        Call::Lease { .. }
        | Call::Chunk { .. }
        | Call::Follow { .. }
        | Call::Parts { .. }
        | Call::Pieces { .. }
        | Call::Records { .. }
        | Call::Work(_) => {}
    }
}
