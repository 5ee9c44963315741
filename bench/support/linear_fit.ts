/** Linear regression over measurements, with its residuals. */

/** A measured value (y) at a size (x). */
export interface IPoint {
  readonly x: number;
  readonly y: number;
}

/** A fitted line and its deviation from the points. */
export interface IFit {
  readonly intercept: number;
  readonly slope: number;
  /** Coefficient of determination, R2. */
  readonly determination: number;
  /** Largest deviation of a point from the line, in units of y. */
  readonly largestResidual: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly IPoint[]): IFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const sum = (of: (point: IPoint) => number) =>
    points.reduce((total, point) => total + of(point), 0);
  const slope =
    sum(({ x, y }) => (x - meanX) * (y - meanY)) /
    sum(({ x }) => (x - meanX) ** 2);
  const intercept = meanY - slope * meanX;
  const residual = ({ x, y }: IPoint) => y - intercept - slope * x;
  const spread = sum(({ y }) => (y - meanY) ** 2);
  const unexplained = sum((point) => residual(point) ** 2);
  return {
    intercept,
    slope,
    determination: spread === 0 ? 1 : 1 - unexplained / spread,
    largestResidual: Math.max(
      ...points.map((point) => Math.abs(residual(point))),
    ),
  };
}

/** Prints the points, the line and its value at the size `at`. */
export function printFit(
  name: string,
  points: readonly IPoint[],
  options: { readonly unit: string; readonly of: string; readonly at: number },
): void {
  const { unit, of, at } = options;
  const fit = fitLine(points);
  const shown = points.map(({ x, y }) => `${x}:${round(y)}`).join(" ");
  console.log(`${name} (${unit} by ${of}) points ${shown}`);
  console.log(
    `${name} fit ${round(fit.intercept)} + ${round(fit.slope)} x ${of}, ` +
      `R2 ${round(fit.determination)}, ` +
      `largest residual ${round(fit.largestResidual)} ${unit}, ` +
      `at ${at}: ${round(fit.intercept + fit.slope * at)} ${unit}`,
  );
}

/** Three significant figures. */
export function round(value: number): string {
  return Number(value.toPrecision(3)).toString();
}
