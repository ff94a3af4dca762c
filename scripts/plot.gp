# Bars of an experiment's runs: fairness gap and utilisation.
set terminal svg size 900,360 font "sans,11"
set output folder."/".name.".svg"
set datafile separator ","
set style data histogram
set style fill solid 0.7 border
set boxwidth 0.8
set xtics rotate by -30 noenhanced
set yrange [0:*]
set grid ytics
set multiplot layout 1,2
set title name.": fairness gap, % of mean service (log)" noenhanced
set logscale y
set yrange [0.1:*]
plot folder."/".name.".csv" skip 1 using (column(14) > 0.1 ? column(14) : 0.1):xtic(1) notitle linecolor rgb "#7a5ea8"
unset logscale y
set title name.": utilisation while work waits, %" noenhanced
set yrange [0:100]
plot folder."/".name.".csv" skip 1 using 18:xtic(1) notitle linecolor rgb "#4f8a5b"
unset multiplot
