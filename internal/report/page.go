package report

import (
	_ "embed" // For go:embed.
	"fmt"
	"html/template"
	"io"

	"waxwingpick/core/burn"
)

//go:embed burn.html
var burnTemplate string

var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
}).Parse(burnTemplate))

// burnData is the data of the page template.
type burnData struct {
	Evaluation burn.Evaluation
	Plots      []template.HTML
}

func writeBurnPage(w io.Writer, evaluation burn.Evaluation) error {
	data := burnData{
		Evaluation: evaluation,
	}
	for _, class := range evaluation.Classes {
		svg, err := burnPlot(class)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	if err := burnPage.Execute(w, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
