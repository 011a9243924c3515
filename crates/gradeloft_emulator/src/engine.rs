//! A replica's queue and passes.

use gradeloft_policy::process::document::Speed;

/// A request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Names it.
    pub id: usize,
    /// Rank in the queue, 0 for the first.
    pub rank: u32,
    /// Tokens of its prompt that are not read.
    pub prompt: f64,
    /// Tokens that are not written.
    pub answer: f64,
}

/// What a pass did to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It wrote the request's first tokens.
    Began(usize),
    /// It wrote further tokens.
    Wrote(usize),
    /// It wrote the last ones.
    Ended(usize),
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Engine {
    speed: Speed,
    slots: usize,
    /// Sorted by rank, then by arrival.
    queue: Vec<Job>,
    /// At most `slots`.
    running: Vec<Job>,
    /// Whether a pass goes on.
    busy: bool,
}

impl Engine {
    /// An idle replica.
    pub fn new(speed: Speed, slots: u32) -> Engine {
        Engine {
            speed,
            slots: slots as usize,
            queue: Vec::new(),
            running: Vec::new(),
            busy: false,
        }
    }

    /// Takes a request; gives the length of the pass that begins by it, if none goes on.
    pub fn take(&mut self, job: Job) -> Option<f64> {
        let behind = self.queue.partition_point(|it| it.rank <= job.rank);
        self.queue.insert(behind, job);
        if self.busy { None } else { self.begin() }
    }

    /// Begins a pass, if there is work; gives its length in milliseconds.
    fn begin(&mut self) -> Option<f64> {
        let free = self.slots - self.running.len();
        let admitted = free.min(self.queue.len());
        self.running.extend(self.queue.drain(..admitted));
        self.busy = !self.running.is_empty();
        let unread: f64 = self.running.iter().map(|it| it.prompt).sum();
        let writers = self.running.len() as f64;
        let step_ms = self.speed.step_ms + self.speed.step_ms_per_request * writers;
        let pass_ms = unread / self.speed.read_per_ms + step_ms * f64::from(self.speed.steps);
        self.busy.then_some(pass_ms)
    }

    /// Ends a pass; gives what it did, and the length of the next one.
    pub fn end(&mut self) -> (Vec<Step>, Option<f64>) {
        let written = f64::from(self.speed.steps);
        let mut steps = Vec::with_capacity(self.running.len());
        for job in &mut self.running {
            let first = 0.0 < job.prompt;
            job.prompt = 0.0;
            job.answer -= written;
            if first {
                steps.push(Step::Began(job.id));
            } else if 0.0 < job.answer {
                steps.push(Step::Wrote(job.id));
            }
            if job.answer <= 0.0 {
                steps.push(Step::Ended(job.id));
            }
        }
        self.running.retain(|it| 0.0 < it.answer);
        (steps, self.begin())
    }

    /// Drops all it has, as when it goes away; gives what that was.
    pub fn clear(&mut self) -> Vec<usize> {
        self.busy = false;
        let dropped = self.queue.drain(..).chain(self.running.drain(..));
        dropped.map(|it| it.id).collect()
    }
}
