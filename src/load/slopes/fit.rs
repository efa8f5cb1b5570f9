//! Linear least squares.

/// A line fitted to measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth of the value per unit of size.
    pub slope: f64,
    /// The root mean square of the distances between the points and the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of (size, value). Returns `None` for fewer than two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (size, value) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - size).powi(2)).sum();
        if points.is_empty() || spread <= f64::EPSILON {
            return None;
        }
        let shared: f64 = points.iter().map(|p| (p.0 - size) * (p.1 - value)).sum();
        let slope = shared / spread;
        let intercept = value - slope * size;
        let distance = |p: &(f64, f64)| p.1 - (intercept + slope * p.0);
        let squares: f64 = points.iter().map(|p| distance(p).powi(2)).sum();
        Some(Self {
            intercept,
            slope,
            residual: (squares / count).sqrt(),
        })
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
