package configuration_test

import (
	"fmt"
	"os"
	"time"

	"chervilusher.dev/lib/configuration"
)

func ExampleBuilder() {
	builder := configuration.NewBuilder("hokkaido")
	builder.TokenHash("clerks", configuration.RoleCaller, configuration.HashToken("a secret"))
	north := builder.Place("north", "asahikawa")
	desk := builder.Service("desk", "brackets", configuration.ServiceOptions{
		Places:   []configuration.PlaceName{north},
		Deadline: 10 * time.Second,
	})
	builder.ServiceObjective("prompt", desk, configuration.Goal{Latency: time.Second, Target: 0.99})
	if err := builder.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// {
	//   "owner": "hokkaido",
	//   "tokens": [
	//     {
	//       "name": "clerks",
	//       "role": "caller",
	//       "hash": "984ca5162200734c592148f1820b71057f098573d138666b48663e4e30cd8d3a"
	//     }
	//   ],
	//   "places": [
	//     {
	//       "name": "north",
	//       "domain": "asahikawa"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "desk",
	//       "group": "brackets",
	//       "places": [
	//         "north"
	//       ],
	//       "deadline": "10s"
	//     }
	//   ],
	//   "objectives": [
	//     {
	//       "name": "prompt",
	//       "service": "desk",
	//       "latency": "1s",
	//       "target": 0.99
	//     }
	//   ]
	// }
}
