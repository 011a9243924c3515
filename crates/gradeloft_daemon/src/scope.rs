//! Tasks that end together.

use std::cell::RefCell;

use tokio::task::JoinSet;

/// Tasks of one process on its thread. [`Scope::end`] drops all of them at once, as the death of
/// the process would, so a test can kill one process among several on a thread.
#[derive(Default)]
pub struct Scope {
    tasks: RefCell<JoinSet<()>>,
}

impl Scope {
    /// Runs a task until it is done or the scope ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Ends all tasks.
    pub fn end(&self) {
        self.tasks.borrow_mut().abort_all();
    }
}
