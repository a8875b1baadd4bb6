//! True properties of the simulated tasks, which the policy doesn't see.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use toucangrade::Name;
use toucangrade::placement::Size;

/// Deployment of a company.
#[derive(Clone, Copy, Debug)]
pub struct Company {
    pub name: &'static str,
    /// Cores of a worker.
    pub cores: u64,
    /// Memory of a worker in MB.
    pub memory: u64,
    pub centres: &'static [&'static str],
    pub quick: [&'static str; 2],
    /// Declared cores and real cores at full load of each quick kind.
    pub quick_cores: [(u64, f64); 2],
    /// Declared cores of the batch kinds, which take them in turn.
    pub sizes: [u64; 3],
    /// Median run time of batch jobs in seconds.
    pub run: f64,
}

pub const ALBUQUERQUE: Company = Company {
    name: "albuquerque-neto",
    cores: 32,
    memory: 125_000,
    centres: &["recife-centro", "boa-viagem", "olinda"],
    quick: ["quote", "part-search"],
    quick_cores: [(8, 5.0), (3, 1.5)],
    sizes: [2, 3, 6],
    run: 240.0,
};

pub const KLOPCA: Company = Company {
    name: "klopca",
    cores: 64,
    memory: 250_000,
    centres: &["ljubljana-a", "kranj-b", "celje-c", "novo-mesto-d"],
    quick: ["match", "grain-search"],
    quick_cores: [(12, 8.0), (4, 2.5)],
    sizes: [4, 6, 12],
    run: 420.0,
};

/// Number of batch kinds of a company.
pub const KINDS: usize = 12;

/// A batch kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: Name,
    pub declared: Size,
    /// Ratios of real to declared cores and memory.
    pub factors: (f64, f64),
    /// Median run time in seconds.
    pub run: f64,
}

/// True properties of all batch kinds.
#[derive(Clone, Debug)]
pub struct Truth {
    pub kinds: Vec<Kind>,
    /// Slowdown of a quick kind (first index) on a worker filled with a batch kind.
    pub slopes: Vec<Vec<f64>>,
    /// Slowdown of a batch kind (first index) on a worker filled with another.
    pub rival: Vec<Vec<f64>>,
}

impl Truth {
    /// Draws the properties at random; with `wrong`, declared sizes differ more from the real ones.
    pub fn draw(company: &Company, seed: u64, wrong: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x7275_7468);
        let factor = lognormal(0.6, if wrong { 0.9 } else { 0.4 });
        let kinds = (0..KINDS)
            .map(|k| {
                let cores = company.sizes[k % 3];
                let mut factors = (factor.sample(&mut rng), factor.sample(&mut rng));
                if wrong && k % 5 == 0 {
                    factors.1 = factors.1.max(2.0);
                }
                factors = (factors.0.clamp(0.1, 2.5), factors.1.clamp(0.1, 2.5));
                Kind {
                    name: Name::new(&format!("batch-{k}")).unwrap(),
                    declared: Size::new(cores * 1_000, cores * 3_000, 0),
                    factors,
                    run: company.run * lognormal(1.0, 0.5).sample(&mut rng),
                }
            })
            .collect();
        // The slope of a pair is the product of a factor of the batch kind and a factor of the pair.
        let weight: Vec<f64> = (0..KINDS).map(|_| lognormal(0.6, 0.8).sample(&mut rng)).collect();
        let slopes = (0..2)
            .map(|_| {
                let pair = lognormal(1.0, 0.6);
                weight.iter().map(|w| w * pair.sample(&mut rng)).collect()
            })
            .collect();
        let rival = (0..KINDS)
            .map(|_| {
                let pair = lognormal(0.25, 0.8);
                (0..KINDS).map(|_| pair.sample(&mut rng)).collect()
            })
            .collect();
        Self { kinds, slopes, rival }
    }

    /// The `count` batch kinds that slow down the first quick kind most.
    pub fn noisiest(&self, count: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..KINDS).collect();
        order.sort_by(|&a, &b| self.slopes[0][b].total_cmp(&self.slopes[0][a]));
        order.truncate(count);
        order
    }

    /// Relative excess latency of a quick kind at a load, next to batch kinds that use these shares of the
    /// worker's cores.
    pub fn excess(&self, quick: usize, load: f64, mix: &[(usize, f64)]) -> f64 {
        let sum: f64 = mix.iter().map(|&(k, part)| self.slopes[quick][k] * part).sum();
        let used: f64 = mix.iter().map(|&(_, part)| part).sum();
        // Interference grows faster than load, and more than proportionally on a full worker.
        sum * (0.4 + 1.2 * load * load) * (1.0 + 0.5 * used)
    }

    /// Relative speed of a batch kind next to a mix of others, at most 1.
    pub fn rate(&self, kind: usize, mix: &[(usize, f64)]) -> f64 {
        let sum: f64 = mix.iter().map(|&(k, part)| self.rival[kind][k] * part).sum();
        1.0 / (1.0 + sum)
    }
}

pub fn lognormal(median: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(f64::ln(median), sigma).unwrap()
}

/// True properties of a job.
#[derive(Clone, Debug)]
pub struct Hidden {
    pub kind: usize,
    /// Cores that it uses.
    pub cores: f64,
    /// Memory that it uses at its peak, in MB.
    pub memory: f64,
    /// Core seconds of work of each member.
    pub work: f64,
    /// Whether it fails with an error after a third of its work.
    pub doomed: bool,
}

impl Hidden {
    pub fn draw(truth: &Truth, kind: usize, doomed: bool, rng: &mut SmallRng) -> Self {
        let k = &truth.kinds[kind];
        let vary = lognormal(1.0, 0.1);
        let cores = k.declared.cores as f64 / 1_000.0 * k.factors.0 * vary.sample(rng);
        let run = k.run * lognormal(1.0, 0.4).sample(rng);
        Self {
            kind,
            cores,
            memory: k.declared.memory as f64 * k.factors.1 * vary.sample(rng),
            work: cores * run.clamp(20.0, 3_600.0),
            doomed,
        }
    }
}

/// A uniformly distributed random number.
pub fn uniform(rng: &mut SmallRng, low: f64, high: f64) -> f64 {
    rng.random_range(low..high)
}
