//! A plot of a few lines.

use std::io;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, DrawingAreaErrorKind, IntoDrawingArea,
    LineSeries, PathElement, RGBColor, SVGBackend, Text, WHITE,
};

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
const SAMPLE_LENGTH_PX: i32 = 18;
/// Room above the highest point.
const HEADROOM: f64 = 1.1;
const LEGEND_OPACITY: f64 = 0.8;
const MIN_HEIGHT: f64 = 1e-9;
const REFERENCE_COLOR: RGBColor = RGBColor(90, 90, 90);
/// Colours that people who see few of them tell apart (Okabe and Ito, 2008).
const SERIES_COLORS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

type DrawingError = DrawingAreaErrorKind<io::Error>;
type PlotAxes = Cartesian2d<RangedCoordf64, RangedCoordf64>;
type PlotChart<'a> = ChartContext<'a, SVGBackend<'a>, PlotAxes>;

/// A plot of a few lines over one axis, drawn as an SVG text.
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
    /// Creates a plot without lines.
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

    /// Names the horizontal axis, with its unit.
    #[must_use]
    pub fn x_label(mut self, label: impl Into<String>) -> Self {
        self.x_label = label.into();
        self
    }

    /// Names the vertical axis, with its unit.
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

    /// Lets the horizontal axis run from its greatest value to its least.
    #[must_use]
    pub fn reversed_x(mut self) -> Self {
        self.reversed_x = true;
        self
    }

    /// Sets the least value of the horizontal axis; without it the points' least is taken.
    #[must_use]
    pub fn x_from(mut self, least: f64) -> Self {
        self.x_from = Some(least);
        self
    }

    /// Sets the greatest value of the horizontal axis; without it the points' greatest is taken.
    #[must_use]
    pub fn x_to(mut self, greatest: f64) -> Self {
        self.x_to = Some(greatest);
        self
    }

    /// Adds lines.
    #[must_use]
    pub fn series(mut self, series: Vec<plot::PlotSeries>) -> Self {
        self.series.extend(series);
        self
    }

    /// Adds a level for comparison.
    #[must_use]
    pub fn reference_line(mut self, line: plot::ReferenceLine) -> Self {
        self.reference_lines.push(line);
        self
    }

    /// Draws the plot.
    ///
    /// # Errors
    ///
    /// Fails where the plotting library does.
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
        let area = SVGBackend::with_string(svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        let (left, right) = self.x_range();
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, TITLE_FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(X_LABEL_AREA_PX)
            .y_label_area_size(Y_LABEL_AREA_PX)
            .build_cartesian_2d(left..right, 0.0..self.height())?;
        self.draw_axes(&mut chart)?;
        self.draw_reference_lines(&mut chart)?;
        self.draw_series(&mut chart)?;
        area.present()
    }

    fn draw_axes(&self, chart: &mut PlotChart<'_>) -> Result<(), DrawingError> {
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
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
            let path = PathElement::new(ends, REFERENCE_COLOR.stroke_width(1));
            let name = Text::new(line.name.clone(), (left, line.level), LABEL_FONT);
            chart.draw_series([path])?;
            chart.draw_series([name])?;
        }
        Ok(())
    }

    fn draw_series(&self, chart: &mut PlotChart<'_>) -> Result<(), DrawingError> {
        for (series, color) in self.series.iter().zip(SERIES_COLORS.iter().cycle()) {
            let points = series.points.iter().map(|point| (point.x, point.y));
            let style = color.stroke_width(LINE_WIDTH_PX);
            chart
                .draw_series(LineSeries::new(points, style).point_size(LINE_WIDTH_PX))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + SAMPLE_LENGTH_PX, y)], style));
        }
        if self.series.is_empty() {
            return Ok(());
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(LEGEND_OPACITY))
            .border_style(REFERENCE_COLOR)
            .label_font(LABEL_FONT)
            .draw()
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
        let to = to.max(from + MIN_HEIGHT);
        if self.reversed_x {
            (to, from)
        } else {
            (from, to)
        }
    }

    /// Returns the top of the vertical axis: above all points and the lowest reference line.
    fn height(&self) -> f64 {
        let highest = self.points().map(|point| point.y).fold(0.0, f64::max);
        let levels = self.reference_lines.iter().map(|line| line.level);
        let lowest_level = levels.reduce(f64::min).unwrap_or(0.0);
        highest.max(lowest_level).max(MIN_HEIGHT) * HEADROOM
    }
}
