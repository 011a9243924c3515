//! A fake of the list of instances.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use gradeloft_http::{
    message::{HttpResponse, Request, json},
    server::Server,
};
use gradeloft_wire::border::platform::{Instance, InstanceState, Instances};

use crate::{refusal, start_server, url};

/// State and knobs of the list.
#[derive(Default)]
pub struct State {
    live: RefCell<Vec<Instance>>,
    shown: RefCell<Vec<Instance>>,
    /// Refuses every call while set.
    pub down: Cell<bool>,
    /// Shows what it showed before while set: the lag.
    pub frozen: Cell<bool>,
}

/// A list that listens.
pub struct List {
    /// State and knobs.
    pub state: Rc<State>,
    server: Server,
}

impl List {
    /// Starts an empty list.
    pub async fn start() -> std::io::Result<List> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), answer).await?;
        Ok(List { state, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// An instance is there, or is at a new address.
    pub fn add(&self, instance: Instance) {
        let mut live = self.live.borrow_mut();
        live.retain(|it| it.id != instance.id);
        live.push(instance);
    }

    /// An instance is gone.
    pub fn remove(&self, id: &str) {
        self.live.borrow_mut().retain(|it| it.id != id);
    }

    /// An instance is to leave.
    pub fn leaving(&self, id: &str) {
        self.change(id, |it| it.state = InstanceState::Leaving);
    }

    /// Changes what is listed of an instance.
    pub fn change(&self, id: &str, change: impl Fn(&mut Instance)) {
        self.live
            .borrow_mut()
            .iter_mut()
            .filter(|it| it.id == id)
            .for_each(change);
    }
}

async fn answer(state: Rc<State>, request: Request) -> HttpResponse {
    if state.down.get() {
        return refusal(503, "the list is down");
    }
    if request.path != "/v1/instances" {
        return refusal(404, "no such call");
    }
    if !state.frozen.get() {
        *state.shown.borrow_mut() = state.live.borrow().clone();
    }
    json(
        200,
        &Instances {
            instances: state.shown.borrow().clone(),
        },
    )
}
