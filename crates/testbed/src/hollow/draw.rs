use super::sweep::{Axis, Run, points};
use super::tally::Role;
use plotters::prelude::*;

type Res = Result<(), Box<dyn std::error::Error>>;

const ROLES: [(Role, RGBColor, &str); 3] = [
    (Role::Core, RGBColor(178, 34, 34), "core"),
    (Role::Home, RGBColor(30, 90, 160), "home"),
    (Role::Other, RGBColor(60, 140, 60), "other"),
];

const PANELS: [(&str, &str); 4] = [
    ("bytes_out", "bytes out a second"),
    ("bytes_far", "of these between zones"),
    ("step_us", "microseconds of steps a second"),
    ("memory", "bytes of memory"),
];

/// One picture for each sweep: what a node of each role costs against the size.
pub fn draw(a: &Axis, rs: &[Run], to: &std::path::Path) -> Res {
    let root = SVGBackend::new(to, (1000, 760)).into_drawing_area();
    root.fill(&WHITE)?;
    let (lo, hi) = (a.points[0] as f64 * 0.8, rs.iter().map(|r| r.x).max().unwrap_or(1) as f64 * 1.25);
    for (area, (col, what)) in root.split_evenly((2, 2)).iter().zip(PANELS) {
        let all: Vec<_> = ROLES.iter().flat_map(|r| points(rs, r.0, col)).map(|p| p.1).filter(|y| *y > 0.0).collect();
        let (bot, top) = all.iter().fold((f64::MAX, 0.0f64), |m, y| (m.0.min(*y), m.1.max(*y)));
        if all.is_empty() {
            continue;
        }
        let mut c = ChartBuilder::on(area)
            .caption(what, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d((lo..hi).log_scale(), (bot * 0.8..top * 1.4).log_scale())?;
        c.configure_mesh().x_desc(a.unit).x_labels(6).y_labels(6).draw()?;
        for (role, rgb, name) in ROLES {
            let mut p = points(rs, role, col);
            p.retain(|p| p.1 > 0.0);
            p.sort_by(|a, b| a.0.total_cmp(&b.0));
            if p.is_empty() {
                continue;
            }
            c.draw_series(LineSeries::new(p.iter().copied(), &rgb))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], rgb));
            c.draw_series(p.iter().map(|p| Circle::new(*p, 3, rgb.filled())))?;
        }
        c.configure_series_labels().position(SeriesLabelPosition::UpperLeft).border_style(BLACK.mix(0.3)).draw()?;
    }
    root.present()?;
    Ok(())
}
