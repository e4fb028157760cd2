//! Line plots.

use std::io;

use plotters::coord;
use plotters::prelude;
use plotters::prelude::{Color, IntoDrawingArea};

use crate::error;
use crate::plot;

const DEFAULT_WIDTH_PX: u32 = 720;
const DEFAULT_HEIGHT_PX: u32 = 400;
const MARGIN_PX: u32 = 12;
const X_LABEL_AREA_PX: u32 = 42;
const Y_LABEL_AREA_PX: u32 = 56;
const TITLE_FONT: (&str, u32) = ("sans-serif", 18);
const LABEL_FONT: (&str, u32) = ("sans-serif", 13);
const LINE_WIDTH_PX: u32 = 2;
const LEGEND_SAMPLE_LENGTH_PX: i32 = 18;
/// Factor by which the vertical axis extends above the highest point.
const HEADROOM: f64 = 1.1;
const POINT_RADIUS_PX: u32 = 1;
const LEGEND_WIDTH_PX: u32 = 130;
const LEGEND_TOP_PX: i32 = 44;
const LEGEND_ROW_HEIGHT_PX: i32 = 18;
/// Aligns the line sample of a legend entry with the middle of its name.
const LEGEND_SAMPLE_OFFSET_PX: i32 = 6;
const LEGEND_GAP_PX: i32 = 6;
/// Places the name of a reference line just above the line.
const REFERENCE_NAME_OFFSET_PX: (i32, i32) = (4, -15);
const MIN_AXIS_SPAN: f64 = 1e-9;
const REFERENCE_COLOR: prelude::RGBColor = prelude::RGBColor(90, 90, 90);
/// Palette that is distinguishable with colour vision deficiency (Okabe and Ito, 2008).
const SERIES_COLORS: [prelude::RGBColor; 7] = [
    prelude::RGBColor(0, 114, 178),
    prelude::RGBColor(213, 94, 0),
    prelude::RGBColor(0, 158, 115),
    prelude::RGBColor(204, 121, 167),
    prelude::RGBColor(230, 159, 0),
    prelude::RGBColor(86, 180, 233),
    prelude::RGBColor(0, 0, 0),
];

type DrawingError = prelude::DrawingAreaErrorKind<io::Error>;
type PlotArea<'a> = prelude::DrawingArea<prelude::SVGBackend<'a>, coord::Shift>;
type PlotAxes = prelude::Cartesian2d<coord::types::RangedCoordf64, coord::types::RangedCoordf64>;
type PlotChart<'a> = prelude::ChartContext<'a, prelude::SVGBackend<'a>, PlotAxes>;

/// Formats an axis value with up to 3 decimals and without trailing zeros.
fn axis_label(number: f64) -> String {
    let text = format!("{number:.3}");
    let text = text.trim_end_matches('0').trim_end_matches('.');
    String::from(text)
}

/// A line plot with a legend and reference lines, rendered as SVG text.
///
/// # Examples
///
/// ```
/// use galenahold_report::{PlotPoint, PlotSeries, ResultPlot};
///
/// let points = vec![PlotPoint { x: 1.0, y: 20.0 }, PlotPoint { x: 2.0, y: 30.0 }];
/// let svg = ResultPlot::new("Wait by load")
///     .x_label("requests a second")
///     .y_label("ms")
///     .series(vec![PlotSeries { name: String::from("two choices"), points }])
///     .to_svg()?;
/// assert!(svg.starts_with("<svg"));
/// # Ok::<(), galenahold_report::ReportError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ResultPlot {
    title: String,
    x_label: String,
    y_label: String,
    width_px: u32,
    height_px: u32,
    reversed_x: bool,
    x_from: Option<f64>,
    x_to: Option<f64>,
    series: Vec<plot::PlotSeries>,
    reference_lines: Vec<plot::ReferenceLine>,
}

impl ResultPlot {
    /// Creates a plot without data series.
    #[must_use]
    pub fn new(title: impl Into<String>) -> Self {
        Self {
            title: title.into(),
            x_label: String::new(),
            y_label: String::new(),
            width_px: DEFAULT_WIDTH_PX,
            height_px: DEFAULT_HEIGHT_PX,
            reversed_x: false,
            x_from: None,
            x_to: None,
            series: Vec::new(),
            reference_lines: Vec::new(),
        }
    }

    /// Sets the label of the horizontal axis, which should include the unit.
    #[must_use]
    pub fn x_label(mut self, label: impl Into<String>) -> Self {
        self.x_label = label.into();
        self
    }

    /// Sets the label of the vertical axis, which should include the unit.
    #[must_use]
    pub fn y_label(mut self, label: impl Into<String>) -> Self {
        self.y_label = label.into();
        self
    }

    /// Sets the size in pixels.
    #[must_use]
    pub fn size_px(mut self, width: u32, height: u32) -> Self {
        self.width_px = width;
        self.height_px = height;
        self
    }

    /// Reverses the horizontal axis, so that its values decrease from left to right.
    #[must_use]
    pub fn reversed_x(mut self) -> Self {
        self.reversed_x = true;
        self
    }

    /// Sets the minimum of the horizontal axis; the default is the minimum of the points.
    #[must_use]
    pub fn x_from(mut self, least: f64) -> Self {
        self.x_from = Some(least);
        self
    }

    /// Sets the maximum of the horizontal axis; the default is the maximum of the points.
    #[must_use]
    pub fn x_to(mut self, greatest: f64) -> Self {
        self.x_to = Some(greatest);
        self
    }

    /// Adds data series.
    #[must_use]
    pub fn series(mut self, series: Vec<plot::PlotSeries>) -> Self {
        self.series.extend(series);
        self
    }

    /// Adds a reference line.
    #[must_use]
    pub fn reference_line(mut self, line: plot::ReferenceLine) -> Self {
        self.reference_lines.push(line);
        self
    }

    /// Renders the plot as SVG text.
    ///
    /// # Errors
    ///
    /// Returns an error if the plotting library fails.
    pub fn to_svg(&self) -> Result<String, error::ReportError> {
        let mut svg = String::new();
        let drawn = self.draw(&mut svg);
        drawn.map_err(|failure| error::ReportError::Plot {
            title: self.title.clone(),
            reason: failure.to_string(),
        })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), DrawingError> {
        let size = (self.width_px, self.height_px);
        let area = prelude::SVGBackend::with_string(svg, size).into_drawing_area();
        area.fill(&prelude::WHITE)?;
        let (area, legend) = area.split_horizontally(self.width_px - LEGEND_WIDTH_PX);
        let (left, right) = self.x_range();
        let mut chart = prelude::ChartBuilder::on(&area)
            .caption(&self.title, TITLE_FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(X_LABEL_AREA_PX)
            .y_label_area_size(Y_LABEL_AREA_PX)
            .build_cartesian_2d(left..right, 0.0..self.height())?;
        self.draw_axes(&mut chart)?;
        self.draw_reference_lines(&mut chart)?;
        self.draw_series(&mut chart)?;
        self.draw_legend(&legend)?;
        area.present()
    }

    fn draw_axes(&self, chart: &mut PlotChart<'_>) -> Result<(), DrawingError> {
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(prelude::WHITE)
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .x_label_formatter(&|number| axis_label(*number))
            .y_label_formatter(&|number| axis_label(*number))
            .label_style(LABEL_FONT)
            .axis_desc_style(LABEL_FONT)
            .draw()
    }

    fn draw_reference_lines(&self, chart: &mut PlotChart<'_>) -> Result<(), DrawingError> {
        let (left, right) = self.x_range();
        let height = self.height();
        for line in &self.reference_lines {
            if line.level > height {
                continue;
            }
            let ends = [(left, line.level), (right, line.level)];
            let path = prelude::PathElement::new(ends, REFERENCE_COLOR.stroke_width(1));
            let name = prelude::Text::new(line.name.clone(), REFERENCE_NAME_OFFSET_PX, LABEL_FONT);
            chart.draw_series([path])?;
            chart.draw_series([prelude::EmptyElement::at((left, line.level)) + name])?;
        }
        Ok(())
    }

    fn draw_series(&self, chart: &mut PlotChart<'_>) -> Result<(), DrawingError> {
        for (series, color) in self.series.iter().zip(SERIES_COLORS.iter().cycle()) {
            let points = series.points.iter().map(|point| (point.x, point.y));
            let style = color.stroke_width(LINE_WIDTH_PX);
            let line = prelude::LineSeries::new(points, style).point_size(POINT_RADIUS_PX);
            chart.draw_series(line)?;
        }
        Ok(())
    }

    /// Draws the legend beside the plot, so that it covers no point.
    fn draw_legend(&self, area: &PlotArea<'_>) -> Result<(), DrawingError> {
        let colors = SERIES_COLORS.iter().cycle();
        let mut top = LEGEND_TOP_PX;
        for (series, color) in self.series.iter().zip(colors) {
            let middle = top + LEGEND_SAMPLE_OFFSET_PX;
            let sample = [(0, middle), (LEGEND_SAMPLE_LENGTH_PX, middle)];
            let style = color.stroke_width(LINE_WIDTH_PX);
            area.draw(&prelude::PathElement::new(sample, style))?;
            let name = series.name.as_str();
            let place = (LEGEND_SAMPLE_LENGTH_PX + LEGEND_GAP_PX, top);
            area.draw(&prelude::Text::new(name, place, LABEL_FONT))?;
            top += LEGEND_ROW_HEIGHT_PX;
        }
        Ok(())
    }

    fn points(&self) -> impl Iterator<Item = &plot::PlotPoint> {
        self.series.iter().flat_map(|series| &series.points)
    }

    fn x_range(&self) -> (f64, f64) {
        let least = self.points().map(|point| point.x).fold(f64::MAX, f64::min);
        let greatest = self.points().map(|point| point.x).fold(f64::MIN, f64::max);
        let empty = least > greatest;
        let from = self.x_from.unwrap_or(if empty { 0.0 } else { least });
        let to = self.x_to.unwrap_or(if empty { 1.0 } else { greatest });
        let to = to.max(from + MIN_AXIS_SPAN);
        if self.reversed_x {
            (to, from)
        } else {
            (from, to)
        }
    }

    /// Returns the maximum of the vertical axis, which lies above all points and the lowest reference line.
    fn height(&self) -> f64 {
        let highest = self.points().map(|point| point.y).fold(0.0, f64::max);
        let levels = self.reference_lines.iter().map(|line| line.level);
        let lowest_level = levels.reduce(f64::min).unwrap_or(0.0);
        highest.max(lowest_level).max(MIN_AXIS_SPAN) * HEADROOM
    }
}
