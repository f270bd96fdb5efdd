/// A line through points, with the standard error of its slope, and the power that a line
/// through their logarithms names.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    pub error: f64,
    pub power: f64,
    pub power_error: f64,
}

fn line(p: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = p.len() as f64;
    let (mx, my) = (p.iter().map(|x| x.0).sum::<f64>() / n, p.iter().map(|x| x.1).sum::<f64>() / n);
    let sxx: f64 = p.iter().map(|x| (x.0 - mx).powi(2)).sum();
    if p.len() < 2 || sxx == 0.0 {
        return (my, 0.0, 0.0);
    }
    let b = p.iter().map(|x| (x.0 - mx) * (x.1 - my)).sum::<f64>() / sxx;
    let a = my - b * mx;
    let rest: f64 = p.iter().map(|x| (x.1 - a - b * x.0).powi(2)).sum();
    let e = if p.len() > 2 { (rest / (n - 2.0) / sxx).sqrt() } else { 0.0 };
    (a, b, e)
}

/// Least squares; points that are not above nought have no logarithm and no part in the power.
pub fn fit(p: &[(f64, f64)]) -> Fit {
    let (base, slope, error) = line(p);
    let logs: Vec<_> = p.iter().filter(|x| x.0 > 0.0 && x.1 > 0.0).map(|x| (x.0.ln(), x.1.ln())).collect();
    let (power, power_error) = if logs.len() > 1 {
        let l = line(&logs);
        (l.1, l.2)
    } else {
        (0.0, 0.0)
    };
    Fit { base, slope, error, power, power_error }
}
