//! Groups of tasks that end together.

use std::cell::RefCell;

use tokio::task::JoinSet;

/// All tasks of one process. [`Scope::end`] aborts them at once, as a crash of the process would,
/// so a test can run several processes on one thread and kill one of them.
#[derive(Default)]
pub struct Scope {
    tasks: RefCell<JoinSet<()>>,
}

impl Scope {
    /// Spawns a task that runs until it completes or the scope ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Aborts all tasks.
    pub fn end(&self) {
        self.tasks.borrow_mut().abort_all();
    }
}
