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

/// State and fault settings of the list.
#[derive(Default)]
pub struct State {
    instances: RefCell<Vec<Instance>>,
    last_response: RefCell<Vec<Instance>>,
    /// Whether every call is refused.
    pub down: Cell<bool>,
    /// Whether the list keeps returning its last response, which simulates lag.
    pub frozen: Cell<bool>,
}

/// A listening list.
pub struct List {
    /// State and fault settings.
    pub state: Rc<State>,
    server: Server,
}

impl List {
    /// Starts an empty list.
    pub async fn start() -> std::io::Result<List> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), handle_request).await?;
        Ok(List { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Adds an instance, or replaces the one with the same id.
    pub fn add(&self, instance: Instance) {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|it| it.id != instance.id);
        instances.push(instance);
    }

    /// Removes an instance.
    pub fn remove(&self, id: &str) {
        self.instances.borrow_mut().retain(|it| it.id != id);
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, id: &str) {
        self.change(id, |it| it.state = InstanceState::Leaving);
    }

    /// Changes the listed data of an instance.
    pub fn change(&self, id: &str, change: impl Fn(&mut Instance)) {
        self.instances
            .borrow_mut()
            .iter_mut()
            .filter(|it| it.id == id)
            .for_each(change);
    }
}

async fn handle_request(state: Rc<State>, request: Request) -> HttpResponse {
    if state.down.get() {
        return refusal(503, "the list is down");
    }
    if request.path != "/v1/instances" {
        return refusal(404, "no such call");
    }
    if !state.frozen.get() {
        *state.last_response.borrow_mut() = state.instances.borrow().clone();
    }
    json(
        200,
        &Instances {
            instances: state.last_response.borrow().clone(),
        },
    )
}
