//! Queue and passes of a replica.

use gradeloft_policy::process::document::Speed;

/// A request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Index of the request.
    pub id: usize,
    /// Rank in the queue; lower ranks run first.
    pub rank: u32,
    /// Prompt tokens that are not processed yet.
    pub prompt_left: f64,
    /// Answer tokens that are not generated yet.
    pub answer_left: f64,
}

/// Progress of a request in a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The first tokens were generated.
    First(usize),
    /// Further tokens were generated.
    Further(usize),
    /// The last tokens were generated.
    Last(usize),
}

/// An emulated replica.
#[derive(Clone, Debug)]
pub struct Engine {
    speed: Speed,
    slots: usize,
    /// Waiting requests, sorted by rank, then by arrival.
    queue: Vec<Job>,
    /// Requests in progress; at most `slots`.
    running: Vec<Job>,
    /// Whether a pass is in progress.
    busy: bool,
}

impl Engine {
    /// Creates an idle replica.
    pub fn new(speed: Speed, slots: u32) -> Engine {
        Engine {
            speed,
            slots: slots as usize,
            queue: Vec::new(),
            running: Vec::new(),
            busy: false,
        }
    }

    /// Queues a request; returns the duration in milliseconds of the pass that this starts, if no
    /// pass was in progress.
    pub fn enqueue(&mut self, job: Job) -> Option<f64> {
        let position = self.queue.partition_point(|it| it.rank <= job.rank);
        self.queue.insert(position, job);
        if self.busy { None } else { self.start_pass() }
    }

    /// Starts a pass if there is work; returns its duration in milliseconds.
    fn start_pass(&mut self) -> Option<f64> {
        let free = self.slots - self.running.len();
        let admitted = free.min(self.queue.len());
        self.running.extend(self.queue.drain(..admitted));
        self.busy = !self.running.is_empty();
        let unprocessed: f64 = self.running.iter().map(|it| it.prompt_left).sum();
        let requests = self.running.len() as f64;
        let step_ms = self.speed.step_ms + self.speed.step_ms_per_request * requests;
        let pass_ms = unprocessed / self.speed.read_per_ms + step_ms * f64::from(self.speed.steps);
        self.busy.then_some(pass_ms)
    }

    /// Finishes a pass; returns the progress of its requests and the duration of the next pass in
    /// milliseconds, if there is more work.
    pub fn finish_pass(&mut self) -> (Vec<Progress>, Option<f64>) {
        let generated = f64::from(self.speed.steps);
        let mut progress = Vec::with_capacity(self.running.len());
        for job in &mut self.running {
            let is_first = 0.0 < job.prompt_left;
            job.prompt_left = 0.0;
            job.answer_left -= generated;
            if is_first {
                progress.push(Progress::First(job.id));
            } else if 0.0 < job.answer_left {
                progress.push(Progress::Further(job.id));
            }
            if job.answer_left <= 0.0 {
                progress.push(Progress::Last(job.id));
            }
        }
        self.running.retain(|it| 0.0 < it.answer_left);
        (progress, self.start_pass())
    }

    /// Drops all requests, as on a failure of the replica; returns their indices.
    pub fn drop_all(&mut self) -> Vec<usize> {
        self.busy = false;
        let dropped = self.queue.drain(..).chain(self.running.drain(..));
        dropped.map(|it| it.id).collect()
    }
}
