package skew

import (
	"fmt"
	"image/color"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const secondsPerInterval = 10

// maxPlottedSkew is the skew at which the plotted values are clipped.
const maxPlottedSkew = 2

// Plot draws the skew over time of the cases with Zipf exponent 0.8. The extension of path
// selects the image format.
func Plot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Step-time skew over time, Zipf 0.8, one spare slot a rank"
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "max over mean, one band for each drift"
	p.Legend.Top = true
	band := 0.0
	for _, r := range results {
		if r.Case.Exponent != 0.8 {
			continue
		}
		if err := drawBand(p, r, band); err != nil {
			return err
		}
		band++
	}
	p.Y.Min = 1
	p.Y.Max = 1 + band
	return oops.Wrapf(p.Save(10*vg.Inch, 7*vg.Inch, path), "write plot")
}

var (
	grey  = color.Gray{Y: 170}
	blue  = color.RGBA{B: 200, A: 255}
	green = color.RGBA{G: 140, A: 255}
)

// drawBand draws the series of all policies for one drift between band+1 and band+2.
func drawBand(p *plot.Plot, r Result, band float64) error {
	for _, s := range []struct {
		name   string
		series Series
		color  color.Color
	}{{"no rebalancing", r.NoRebalancing, grey}, {"full recompute", r.FullRecompute, blue}, {"planner", r.Planner, green}} {
		line, err := plotter.NewLine(points(s.series.Skew, band))
		if err != nil {
			return oops.Wrapf(err, "draw %s", s.name)
		}
		line.Color = s.color
		p.Add(line)
		if band == 0 {
			p.Legend.Add(s.name, line)
		}
	}
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: 2, Y: band + 1.85}},
		Labels: []string{fmt.Sprintf("%s (band from 1 to 2)", r.Case.Drift)},
	})
	if err != nil {
		return oops.Wrapf(err, "draw label")
	}
	p.Add(label)
	return nil
}

func points(skew []float64, band float64) plotter.XYs {
	out := make(plotter.XYs, len(skew))
	for i, x := range skew {
		out[i].X = float64(i) * secondsPerInterval / 60
		out[i].Y = band + min(x, maxPlottedSkew)
	}
	return out
}
